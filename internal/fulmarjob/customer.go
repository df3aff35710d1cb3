package fulmarjob

import "fmt"

// Customer is an organization that shares the fleet with others.
type Customer struct {
	Name string
	// Keys are the API keys of the customer's requests. They are secrets: no log, metric, error or
	// journal record holds one.
	Keys []string
	// Weight is the customer's share of the capacity, relative to the other customers.
	Weight float64
	// Quota limits what the customer's tasks take on all executors together; zero means no limit
	// on a resource.
	Quota Resources
}

// CustomerByName returns the customer with the given name.
func (c *Configuration) CustomerByName(name string) (Customer, bool) {
	if c != nil {
		for _, customer := range c.Customers {
			if customer.Name == name {
				return customer, true
			}
		}
	}
	return Customer{}, false
}

// CustomersError means that the customers of a configuration contradict each other or are invalid.
type CustomersError struct {
	// Path leads to the field, counted from the customers.
	Path   string
	Reason string
}

// Error returns the field's path and the reason.
func (e *CustomersError) Error() string { return e.Path + ": " + e.Reason }

// maxCustomerWeight bounds weights, so that their sum stays exact.
const maxCustomerWeight = 1 << 32

// ValidateCustomers returns a CustomersError unless each customer has a name and keys of its own, and
// amounts in range.
func ValidateCustomers(customers []Customer) error {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, c := range customers {
		path := fmt.Sprintf("[%d]", i)
		switch {
		case c.Name == "" || len(c.Name) > MaxNameBytes:
			return &CustomersError{path + ".name", fmt.Sprintf("must have between 1 and %d bytes", MaxNameBytes)}
		case names[c.Name]:
			return &CustomersError{path + ".name", "is the name of another customer"}
		case !(c.Weight >= 0 && c.Weight <= maxCustomerWeight):
			return &CustomersError{path + ".weight", "is out of range"}
		case !c.Quota.isQuota():
			return &CustomersError{path + ".quota", "is out of range"}
		}
		names[c.Name] = true
		for k, key := range c.Keys {
			if key == "" || keys[key] {
				return &CustomersError{fmt.Sprintf("%s.keys[%d]", path, k), "is empty or listed twice"}
			}
			keys[key] = true
		}
	}
	return nil
}

// maxQuota bounds quotas so that the sum of two does not overflow.
const maxQuota = 1 << 56

// isQuota reports whether the amounts can be a limit on the sums over all executors.
func (r Resources) isQuota() bool {
	return min(r.MilliCPU, r.MemoryMB, r.GPUs) >= 0 && max(r.MilliCPU, r.MemoryMB, r.GPUs) <= maxQuota
}
