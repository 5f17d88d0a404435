package gossip

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

func TestLargeObjectsAreCompressed(t *testing.T) {
	value := bytes.Repeat([]byte(`{"name":"r-1","path_prefix":"/a/"},`), 10000)
	reply := &gossippb.PullReply{Incarnation: "i", Sequence: 9, Objects: []*gossippb.Object{{Key: "accepted/main", Version: 4, Value: value}}}
	var p packer
	packed, err := p.pack(3, reply)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, proto.Size(packed) < proto.Size(reply)/20, qt.IsTrue)
	qt.Check(t, packed.Sequence, qt.Equals, uint64(9))
	objects, err := unpack(packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, proto.Equal(objects[0], reply.Objects[0]), qt.IsTrue)
	again, _ := p.pack(3, reply)
	qt.Check(t, again == packed, qt.IsTrue, qt.Commentf("the same reply is made once"))
	other, _ := p.pack(5, reply)
	qt.Check(t, other == packed, qt.IsFalse)
}

func TestSmallObjectsStayAsTheyAre(t *testing.T) {
	reply := &gossippb.PullReply{Objects: []*gossippb.Object{{Key: "k", Value: []byte("v")}}}
	var p packer
	packed, err := p.pack(0, reply)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, packed, qt.Equals, reply)
}

func TestGarbledReplyIsAnError(t *testing.T) {
	_, err := unpack(&gossippb.PullReply{Packed: []byte("not compressed")})
	qt.Check(t, err, qt.IsNotNil)
}
