package experiments

import "fmt"

func percent(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) }
