// Package fulmarkey finds the customer to which a request's API key belongs. It keeps only keyed digests of the
// keys, so neither the time of a look-up nor a dump of an index reveals a key.
//
// Usage:
//
//	index := fulmarkey.NewIndex(configuration.Customers)  // once for each configuration
//	key, err := fulmarkey.ParseHeader(request.Header.Values(fulmarkey.Header), scheme)
//	customer, found := index.Find(key)
//
// No error of this package holds a key or a part of the header.
package fulmarkey
