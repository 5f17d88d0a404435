package gossip

import (
	"bytes"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
	"moorrun.dev/moorrun/internal/infra"
	"moorrun.dev/moorrun/internal/mirror"
)

func TestLargeObjectsAreCompressed(t *testing.T) {
	value := bytes.Repeat([]byte(`{"name":"r-1","path_prefix":"/a/"},`), 10000)
	reply := &gossippb.PullReply{Incarnation: "i", Sequence: 9, Objects: []*gossippb.Object{{Key: "accepted/main", Version: 4, Value: value}}}
	var p compressor
	packed, err := p.compress(&gossippb.PullRequest{Since: 3}, reply)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, proto.Size(packed) < proto.Size(reply)/20, qt.IsTrue)
	qt.Check(t, packed.Sequence, qt.Equals, uint64(9))
	objects, err := newDecompressor().decompress(packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, proto.Equal(objects[0], reply.Objects[0]), qt.IsTrue)
	again, _ := p.compress(&gossippb.PullRequest{Since: 3}, reply)
	qt.Check(t, again == packed, qt.IsTrue, qt.Commentf("an identical reply comes from the cache"))
	other, _ := p.compress(&gossippb.PullRequest{Since: 5}, reply)
	qt.Check(t, other == packed, qt.IsFalse)
}

func TestSmallObjectsStayAsTheyAre(t *testing.T) {
	reply := &gossippb.PullReply{Objects: []*gossippb.Object{{Key: "k", Value: []byte("v")}}}
	var p compressor
	packed, err := p.compress(&gossippb.PullRequest{Since: 0}, reply)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, packed, qt.Equals, reply)
}

func TestGarbledReplyIsAnError(t *testing.T) {
	_, err := newDecompressor().decompress(&gossippb.PullReply{Packed: []byte("not compressed")})
	qt.Check(t, err, qt.IsNotNil)
}

func TestLargeCopyIsGivenInParts(t *testing.T) {
	m := mirror.New()
	const objects = 300
	for i := range objects {
		m.Put(infra.Object{Key: fmt.Sprint("endpoint-", i), Version: 1, Value: make([]byte, 2<<10)})
	}
	s := NewServer("x", m, nil)
	got, replies := 0, 0
	for since := uint64(0); since < m.Sequence(); replies++ {
		reply, err := s.Pull(t.Context(), &gossippb.PullRequest{Incarnation: "x", Since: since})
		qt.Assert(t, err, qt.IsNil)
		list, err := newDecompressor().decompress(reply)
		qt.Assert(t, err, qt.IsNil)
		got += len(list)
		since = reply.Sequence
	}
	qt.Check(t, got, qt.Equals, objects)
	qt.Check(t, replies, qt.Equals, 3, qt.Commentf("600 KB of objects, at most 256 KB per reply"))
}
