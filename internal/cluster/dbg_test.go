package cluster
import ("testing";"go.uber.org/zap";"time";"fmt";"context")
func TestDbg(t *testing.T) {
	lg, _ := zap.NewDevelopment()
	l := Today(treeFor(1)); l.Logger = lg
	c, err := Start(t.TempDir(), l)
	if err != nil { t.Fatal(err) }
	defer c.Close()
	tc := &testCluster{Cluster: c, t: t, paying: Caller{Key: "paying-key"}}
	c.WaitReady(3*time.Second)
	tc.engine("e1", "a")
	time.Sleep(2*time.Second)
	for _, id := range c.IDs() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	a := tc.paying.Stream(ctx, c.CallerURL(id), "rug-model", "rug", 5)
	cancel()
	fmt.Printf("%s %+v\n", id, a)
	}
}
