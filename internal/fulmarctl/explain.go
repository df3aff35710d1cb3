package fulmarctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/fulmardrum/fulmardrum/pkg/fulmarapi"
)

// usageError reports options that don't fit together, or a file that can't be used.
type usageError struct{ detail string }

// Error returns what is wrong.
func (e *usageError) Error() string { return e.detail }

// printExplanation prints where a job would go now.
func (r *runner) printExplanation(ctx context.Context) error {
	request, err := r.explainRequest()
	if err != nil {
		return err
	}
	key, err := r.readKey()
	if err != nil {
		return err
	}
	explanation, err := fulmarapi.NewClient(baseURL(r.options.memberURL), key).Explain(ctx, request)
	if err != nil {
		return err
	}
	if r.options.json {
		r.options.output = "json"
	}
	return r.show(explanation, func() error {
		_, err := fmt.Fprint(r.out, explanationText(explanation))
		return err
	})
}

// baseURL returns the base URL of a member whose address may have no scheme.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}

// explainRequest returns the request for the options.
func (r *runner) explainRequest() (fulmarapi.ExplainRequest, error) {
	o := r.options
	request := fulmarapi.ExplainRequest{Queue: o.queue, Customer: o.customer, Job: o.job}
	switch {
	case (o.job == "") == (o.file == ""):
		return request, &usageError{"explain needs exactly one of --job and --file"}
	case o.customer != "" && o.keyFile != "":
		return request, &usageError{"explain takes either --customer or --key-file"}
	case o.job != "":
		return request, nil
	case o.queue == "":
		return request, &usageError{"--file needs --queue"}
	}
	specification, err := os.ReadFile(o.file)
	if err != nil {
		return request, err
	}
	if !json.Valid(specification) {
		return request, &usageError{o.file + " is not JSON"}
	}
	request.Specification = specification
	return request, nil
}

// readKey returns the API key in the key file, empty without one. Its errors do not contain the key.
func (r *runner) readKey() (string, error) {
	if r.options.keyFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(r.options.keyFile)
	if err != nil {
		return "", err
	}
	key := strings.TrimSpace(string(text))
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return "", &usageError{r.options.keyFile + " holds more than one key, or none"}
		}
	}
	if key == "" {
		return "", &usageError{r.options.keyFile + " holds no key"}
	}
	return key, nil
}
