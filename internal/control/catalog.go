package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/deploymentstate"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/replica"
)

// barrierTimeout limits a linearizable read of the catalog. Operators wait 1 s
// for a response before they ask another instance.
const barrierTimeout = 800 * time.Millisecond

// PutTimeout limits the replication of a catalog change, for the same reason.
const PutTimeout = 900 * time.Millisecond

// PutCatalog replicates a new catalog. An error with the code fault.Invalid
// means that the document will never be accepted; after any other error the
// result is unknown.
func (c *Control) PutCatalog(ctx context.Context, content *catalog.Catalog, document []byte) error {
	command, err := deploymentstate.EncodePut(content.Version, document)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.Location{Step: "encode catalog"}, fault.NotRun)
	}
	ctx, cancel := context.WithTimeout(ctx, PutTimeout)
	defer cancel()
	started := time.Now()
	encoded, err := c.replica.Propose(ctx, command)
	if err != nil {
		c.opts.Logger.Warn("catalog not acknowledged", zap.Uint64("version", content.Version), zap.Duration("took", time.Since(started)), zap.Error(err))
		return err
	}
	result, err := deploymentstate.DecodeResult(encoded)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.Location{Step: "replicate catalog"}, fault.Unknown)
	}
	c.opts.Logger.Info("catalog acknowledged", zap.Uint64("version", content.Version), zap.Bool("replaced", result.Replaced),
		zap.Uint64("inForce", result.Version), zap.Duration("took", time.Since(started)))
	return nil
}

// CurrentCatalog performs a linearizable read of the catalog: it returns the
// document in force, including every change acknowledged before the call. The
// version is 0 if there is no catalog.
func (c *Control) CurrentCatalog(ctx context.Context) (uint64, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	if err := c.replica.Barrier(ctx); err != nil {
		return 0, nil, err
	}
	version, document := c.machine.Catalog()
	return version, document, nil
}

// serveCatalog returns the catalog to an entry instance.
func (c *Control) serveCatalog(ctx context.Context, _ string, payload []byte) ([]byte, error) {
	var request mesh.CatalogRequest
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelCatalog}, fault.NotRun)
	}
	if request.Current {
		if _, _, err := c.CurrentCatalog(ctx); err != nil {
			return nil, err
		}
	}
	version, document := c.machine.Catalog()
	compressed, err := c.compressed.compressedDocument(version, document)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, fault.Location{Step: mesh.ChannelCatalog}, fault.NotRun)
	}
	_, verdicts := c.verdictList()
	return proto.Marshal(&mesh.CatalogReply{Version: version, Document: compressed, Verdicts: verdicts})
}

// compressedCatalog caches the compressed document of one version, because all
// entries request a new version at the same time.
type compressedCatalog struct {
	mu      sync.Mutex
	version uint64
	bytes   []byte
}

// compressedDocument returns the compressed document and caches it by version.
func (c *compressedCatalog) compressedDocument(version uint64, document []byte) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes != nil && c.version == version {
		return c.bytes, nil
	}
	compressed, err := mesh.Compress(document)
	if err != nil {
		return nil, err
	}
	c.version, c.bytes = version, compressed
	return compressed, nil
}

// forwardError wraps an error with replica.ErrNotProposed if it proves that the
// request did not reach the leader.
func forwardError(err error) error {
	if err != nil && fault.OutcomeOf(err) == fault.NotRun && !errors.Is(err, replica.ErrUnknownResult) {
		return fmt.Errorf("%w: %w", replica.ErrNotProposed, err)
	}
	return err
}
