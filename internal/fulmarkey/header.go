package fulmarkey

import "strings"

// Header is the name of the request header that carries a key (RFC 9110, section 11.6.2).
const Header = "Authorization"

// maxKeyBytes limits the work on a request that is refused anyway.
const maxKeyBytes = 4096

// ParseHeader returns the key that the values of an Authorization header carry under a scheme: one value, with the
// scheme in any case, spaces, and a key of visible ASCII characters. It fails with RefusedError.
func ParseHeader(values []string, scheme string) (key string, err error) {
	if len(values) == 0 {
		return "", &RefusedError{Reason: Missing}
	}
	name, rest, found := strings.Cut(values[0], " ")
	key = strings.TrimLeft(rest, " ")
	if len(values) > 1 || !found || !strings.EqualFold(name, scheme) || !isKey(key) {
		return "", &RefusedError{Reason: Malformed}
	}
	return key, nil
}

func isKey(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return key != "" && len(key) <= maxKeyBytes
}
