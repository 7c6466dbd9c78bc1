package settings

import (
	"encoding/json"
	"fmt"
)

// snapshotFormat is the format version of snapshots. It changes whenever older
// versions cannot read the new format.
const snapshotFormat = 1

// snapshotJSON is the JSON encoding of a store. Its lists are in the order in
// which the changes were applied or rejected, so equal stores have equal
// encodings.
type snapshotJSON struct {
	Format  int      `json:"format"`
	Tree    treeJSON `json:"tree"`
	History []Record `json:"history"`
	// Accepted lists the ids of the most recent accepted changes. They made
	// consecutive revisions, ending at the revision of the tree.
	Accepted []string `json:"accepted"`
	// Digests is the concatenation of the digests of Accepted, in its order.
	Digests  []byte         `json:"digests"`
	Rejected []rejectedJSON `json:"refused"`
}

type rejectedJSON struct {
	ID     string `json:"id"`
	Digest []byte `json:"digest"`
	Result Result `json:"result"`
}

// Snapshot encodes the state of the store. Equal states have equal encodings.
func (s *Store) Snapshot() ([]byte, error) {
	out := snapshotJSON{
		Format:   snapshotFormat,
		Tree:     treeJSON{Revision: s.tree.revision, Nodes: s.tree.nodes},
		History:  s.history,
		Accepted: s.acceptedIDs.all(),
		Digests:  make([]byte, 0, s.acceptedIDs.len()*len(changeDigest{})),
	}
	for _, id := range out.Accepted {
		digest := s.accepted[id].digest
		out.Digests = append(out.Digests, digest[:]...)
	}
	for _, id := range s.rejectedIDs.all() {
		r := s.rejected[id]
		out.Rejected = append(out.Rejected, rejectedJSON{ID: id, Digest: r.digest[:], Result: r.result})
	}
	return json.Marshal(out)
}

// Restore replaces the state of the store with a snapshot. On error the store
// is unchanged.
func (s *Store) Restore(data []byte) error {
	var in snapshotJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode settings snapshot: %w", err)
	}
	if in.Format != snapshotFormat {
		return fmt.Errorf("settings snapshot of format %d, accepted: %d", in.Format, snapshotFormat)
	}
	tree, err := in.Tree.tree()
	if err != nil {
		return err
	}
	restored := New()
	restored.tree, restored.history = tree, in.History
	const size = len(changeDigest{})
	kept := uint64(len(in.Accepted))
	if len(in.Digests) != len(in.Accepted)*size || kept > tree.revision || uint64(len(in.History)) > tree.revision {
		return fmt.Errorf("settings snapshot of revision %d has %d change ids, %d digest bytes and %d records", tree.revision, kept, len(in.Digests), len(in.History))
	}
	for i, id := range in.Accepted {
		restored.storeAccepted(id, acceptedChange{
			digest:   changeDigest(in.Digests[i*size:]),
			revision: tree.revision - kept + uint64(i) + 1,
		})
	}
	for _, r := range in.Rejected {
		if len(r.Digest) != size {
			return fmt.Errorf("settings snapshot: digest of change %q has %d bytes, accepted: %d", r.ID, len(r.Digest), size)
		}
		restored.storeRejected(r.ID, rejectedChange{digest: changeDigest(r.Digest), result: r.Result})
	}
	*s = *restored
	return nil
}
