package route

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name           string
	MaxConnections int // an endpoint accepts from all callers together
	Engine         *Engine
}
