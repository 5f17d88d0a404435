package gossip

import (
	"sync"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"moorrun.dev/moorrun/internal/gossip/gossippb"
)

const (
	// minCompressedSize is the size in bytes from which a reply to a Pull is compressed.
	minCompressedSize = 4 << 10
	// maxDecompressedSize bounds the memory in bytes that decompressing a reply may take.
	maxDecompressedSize = 64 << 20
	// compressionWindow is the zstd window size in bytes; it bounds the memory that compressing takes.
	compressionWindow = 512 << 10
)

// compressor compresses replies to Pull calls. It caches the last one, because the nodes that pull from one node mostly
// lack the same objects.
type compressor struct {
	mu      sync.Mutex
	encoder *zstd.Encoder
	since   uint64
	routing bool
	reply   *gossippb.PullReply
}

// compress returns the reply with its objects compressed if it has at least minCompressedSize bytes, else unchanged.
func (c *compressor) compress(request *gossippb.PullRequest, reply *gossippb.PullReply) (*gossippb.PullReply, error) {
	if proto.Size(reply) < minCompressedSize {
		return reply, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reply != nil && c.since == request.Since && c.routing == request.Routing && c.reply.Sequence == reply.Sequence {
		return c.reply, nil
	}
	if c.encoder == nil {
		encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
			zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true))
		if err != nil {
			return nil, err
		}
		c.encoder = encoder
	}
	content, err := proto.Marshal(&gossippb.PullReply{Objects: reply.Objects})
	if err != nil {
		return nil, err
	}
	c.since, c.routing = request.Since, request.Routing
	c.reply = &gossippb.PullReply{Incarnation: reply.Incarnation, Sequence: reply.Sequence, Packed: c.encoder.EncodeAll(content, nil)}
	return c.reply, nil
}

// decompressor decompresses replies to Pull calls with one decoder, which reuses its buffers.
type decompressor struct {
	decoder func() (*zstd.Decoder, error)
}

func newDecompressor() decompressor {
	return decompressor{sync.OnceValues(func() (*zstd.Decoder, error) {
		return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxDecompressedSize))
	})}
}

// decompress returns the objects of a reply, whether it is compressed or not.
func (d decompressor) decompress(reply *gossippb.PullReply) ([]*gossippb.Object, error) {
	if len(reply.Packed) == 0 {
		return reply.Objects, nil
	}
	decoder, err := d.decoder()
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
