package gossip

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

const (
	// packFrom is the size in bytes from which objects are compressed on their way to other nodes.
	packFrom = 4 << 10
	// maxUnpacked bounds what a compressed reply may hold, in bytes.
	maxUnpacked = 64 << 20
	// packWindow bounds the memory that compressing takes, in bytes.
	packWindow = 512 << 10
)

// packer compresses replies. Those who follow a node mostly lack the same objects, so the last reply is kept.
type packer struct {
	mu      sync.Mutex
	encoder *zstd.Encoder
	since   uint64
	routing bool
	reply   *gossippb.PullReply
}

// pack returns the reply to a request, with its objects compressed if they are large.
func (p *packer) pack(request *gossippb.PullRequest, reply *gossippb.PullReply) (*gossippb.PullReply, error) {
	if proto.Size(reply) < packFrom {
		return reply, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reply != nil && p.since == request.Since && p.routing == request.Routing && p.reply.Sequence == reply.Sequence {
		return p.reply, nil
	}
	if p.encoder == nil {
		encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true))
		if err != nil {
			return nil, err
		}
		p.encoder = encoder
	}
	content, err := proto.Marshal(&gossippb.PullReply{Objects: reply.Objects})
	if err != nil {
		return nil, err
	}
	p.since, p.routing = request.Since, request.Routing
	p.reply = &gossippb.PullReply{Incarnation: reply.Incarnation, Sequence: reply.Sequence, Packed: p.encoder.EncodeAll(content, nil)}
	return p.reply, nil
}

// unpacker takes compressed replies apart, with one decoder, which keeps its buffers.
type unpacker struct {
	decoder func() (*zstd.Decoder, error)
}

func newUnpacker() unpacker {
	return unpacker{sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxUnpacked))
	})}
}

// unpack returns the objects of a reply.
func (u unpacker) unpack(reply *gossippb.PullReply) ([]*gossippb.Object, error) {
	if len(reply.Packed) == 0 {
		return reply.Objects, nil
	}
	decoder, err := u.decoder()
	if err != nil {
		return nil, err
	}
	content, err := decoder.DecodeAll(reply.Packed, nil)
	if err != nil {
		return nil, err
	}
	var inner gossippb.PullReply
	if err := proto.Unmarshal(content, &inner); err != nil {
		return nil, err
	}
	return inner.Objects, nil
}
