package shares

// Want is one workspace's claim on places.
type Want struct {
	Share  int // weight, at least 1
	Places int // places it could use now
}
