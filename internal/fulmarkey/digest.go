package fulmarkey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"sync"
)

// digest is the keyed digest of an API key.
type digest [sha256.Size]byte

// processSecret returns the random secret of this process's digests. It never leaves the process, so callers can't
// choose keys by their digests.
var processSecret = sync.OnceValue(func() []byte {
	secret := make([]byte, sha256.Size)
	// Read never fails: it ends the process if the system has no randomness.
	_, _ = rand.Read(secret)
	return secret
})

func newDigest(key string) digest {
	h := hmac.New(sha256.New, processSecret())
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(key))
	return digest(h.Sum(nil))
}
