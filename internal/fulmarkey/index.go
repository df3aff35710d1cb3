package fulmarkey

import "github.com/fulmardrum/fulmardrum/internal/fulmarjob"

// Index finds the customer of an API key. It is immutable and safe for concurrent use.
type Index struct{ customers map[digest]string }

// NewIndex returns the index of the customers' keys. They must be valid by fulmarjob.ValidateCustomers: a key belongs
// to one customer.
func NewIndex(customers []fulmarjob.Customer) *Index {
	x := &Index{customers: map[digest]string{}}
	for _, c := range customers {
		for _, key := range c.Keys {
			x.customers[newDigest(key)] = c.Name
		}
	}
	return x
}

// Find returns the name of the customer to which a key belongs. The map compares digests only, so how long it takes
// does not depend on how much of a key was right.
func (x *Index) Find(key string) (customer string, found bool) {
	customer, found = x.customers[newDigest(key)]
	return customer, found
}

// Authenticate returns the name of the customer whose key the values of an Authorization header carry. It fails with
// RefusedError.
func (x *Index) Authenticate(values []string, scheme string) (customer string, err error) {
	key, err := ParseHeader(values, scheme)
	if err != nil {
		return "", err
	}
	customer, found := x.Find(key)
	if !found {
		return "", &RefusedError{Reason: Unknown}
	}
	return customer, nil
}
