package tunnel

// PrefixTimeout is prefixTimeout for tests.
const PrefixTimeout = prefixTimeout
