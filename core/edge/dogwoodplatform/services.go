package dogwoodplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"

	"dogwoodmux.example/core/dogwoodfleet"
)

// VMList is the response body of the VM list.
type VMList struct {
	VMs []dogwoodfleet.ListedVM
}

// vmListCache holds the last VM list and its entity tag. It serves responses with status 304.
type vmListCache struct {
	mutex sync.Mutex
	tag   string
	vms   []dogwoodfleet.ListedVM
}

// VMs returns the platform's list of VMs, which may be out of date. Callers must not change
// the slice.
func (client *Client) VMs(ctx context.Context) ([]dogwoodfleet.ListedVM, error) {
	client.vmList.mutex.Lock()
	defer client.vmList.mutex.Unlock()
	response, err := client.vms.do(ctx, http.MethodGet, "/vms", func(request *resty.Request) {
		if client.vmList.tag != "" {
			request.SetHeader("If-None-Match", client.vmList.tag)
		}
	})
	if err != nil {
		return nil, err
	}
	switch response.StatusCode() {
	case http.StatusNotModified:
		return client.vmList.vms, nil
	case http.StatusOK:
		var list VMList
		if err := json.Unmarshal(response.Body(), &list); err != nil {
			return nil, Error.Wrap(err)
		}
		client.vmList.tag, client.vmList.vms = response.Header().Get("ETag"), list.VMs
		return list.VMs, nil
	}
	return nil, statusError(response)
}

// PutObject creates or replaces an object.
func (client *Client) PutObject(ctx context.Context, name string, body []byte) error {
	response, err := client.objects.do(ctx, http.MethodPut, objectPath(name), func(request *resty.Request) {
		request.SetHeader("Content-Type", "application/octet-stream").SetBody(nonNil(body))
	})
	if err != nil {
		return err
	}
	if status := response.StatusCode(); status != http.StatusOK && status != http.StatusCreated {
		return statusError(response)
	}
	return nil
}

// GetObject returns an object and whether it exists.
func (client *Client) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	response, err := client.objects.do(ctx, http.MethodGet, objectPath(name), func(*resty.Request) {})
	if err != nil {
		return nil, false, err
	}
	switch response.StatusCode() {
	case http.StatusOK:
		return response.Body(), true, nil
	case http.StatusNotFound:
		return nil, false, nil
	}
	return nil, false, statusError(response)
}

// Weights describes a model version that the weight store permits to load now.
type Weights struct {
	Bytes int64
}

// RateLimited reports that the weight store's rate limit is reached, and how long to wait
// before the next query.
type RateLimited struct {
	RetryAfter time.Duration
}

func (limited *RateLimited) Error() string {
	return "weight store rate limit reached, retry after " + limited.RetryAfter.String()
}

// Weights requests permission to load a model version from the weight store. It returns
// *RateLimited if the store's rate limit is reached.
func (client *Client) Weights(ctx context.Context, model dogwoodfleet.Model, version string) (Weights, error) {
	path := "/weights/" + url.PathEscape(string(model)) + "/" + url.PathEscape(version)
	response, err := client.weights.do(ctx, http.MethodGet, path, func(request *resty.Request) {
		request.SetHeader("Accept", "application/json")
	})
	if err != nil {
		return Weights{}, err
	}
	if response.StatusCode() == http.StatusTooManyRequests {
		seconds, _ := strconv.Atoi(response.Header().Get("Retry-After"))
		return Weights{}, &RateLimited{RetryAfter: time.Duration(max(seconds, 1)) * time.Second}
	}
	if response.StatusCode() != http.StatusOK {
		return Weights{}, statusError(response)
	}
	var weights Weights
	if err := json.Unmarshal(response.Body(), &weights); err != nil {
		return Weights{}, Error.Wrap(err)
	}
	return weights, nil
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}
