// Package view defines a daemon's snapshot of the system: services, contracts,
// members and grants. A View is immutable; a change replaces it with a new one.
//
// Readers load the current view once for each decision, so that no decision mixes two
// configurations.
package view

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"hemlockquay/internal/keyspace"
	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
	"hemlockquay/internal/wire"
)

// View is a snapshot of the system. It is immutable after Build.
type View struct {
	// Source and State identify the agent's state, Revision the configuration.
	Source   string
	State    uint64
	Revision uint64

	Members []wire.Member
	Grants  []wire.Grant
	// Listed holds all VMs in the platform's list.
	Listed []wire.Place

	services map[string]*model.Service
	// byToken maps the hash of a token to its contract.
	byToken     map[string]*model.Contract
	assignments map[string]*model.Assignment
	grants      map[string][]ownedSlice
	// Problems lists the objects that were rejected and why.
	Problems []string
}

// ownedSlice is a slice with its grant. Each service's list is sorted by slice.
type ownedSlice struct {
	slice keyspace.Slice
	grant *wire.Grant
}

// Build returns a view of the objects, members and grants. An object that fails
// validation is omitted and reported in Problems; the caller is responsible for
// passing its last valid version instead.
func Build(objects []platform.Object, members []wire.Member, grants []wire.Grant) *View {
	return new(Cache).Build(objects, members, grants)
}

// Cache keeps decoded objects between builds. It is not safe for concurrent use.
//
// A change of configuration alters one object of thousands and a change of members
// none. Without the cache, each such change would decode all objects again. A version
// of an object never changes, so it needs to be decoded only once.
type Cache struct {
	objects map[platform.ID]decoded
}

type decoded struct {
	version uint64
	object  any
	err     error
}

// decode returns the decoded object, from the cache if it holds the same version.
func (c *Cache) decode(o platform.Object) decoded {
	if d, ok := c.objects[o.ID()]; ok && d.version == o.Version && o.Version != 0 {
		return d
	}
	object, err := model.Decode(o.Kind, o.Name, o.Spec)
	return decoded{o.Version, object, err}
}

// Build does the same as the function Build, but reuses cached objects.
func (c *Cache) Build(objects []platform.Object, members []wire.Member, grants []wire.Grant) *View {
	v := &View{
		Members:     members,
		Grants:      grants,
		services:    make(map[string]*model.Service),
		byToken:     make(map[string]*model.Contract),
		assignments: make(map[string]*model.Assignment),
		grants:      make(map[string][]ownedSlice),
	}
	objects = slices.SortedFunc(slices.Values(objects), func(a, b platform.Object) int { return cmp.Compare(a.Version, b.Version) })
	next := make(map[platform.ID]decoded, len(objects))
	for _, o := range objects {
		d := c.decode(o)
		next[o.ID()] = d
		if err := v.add(d); err != nil {
			v.Problems = append(v.Problems, fmt.Sprintf("%s %s version %d: %v", o.Kind, o.Name, o.Version, err))
		}
	}
	c.objects = next
	for i := range grants {
		v.addGrant(&grants[i])
	}
	for _, owned := range v.grants {
		slices.SortFunc(owned, func(a, b ownedSlice) int {
			if a.slice.First < b.slice.First {
				return -1
			}
			return 1
		})
	}
	return v
}

func (v *View) add(d decoded) error {
	if d.err != nil {
		return d.err
	}
	switch typed := d.object.(type) {
	case *model.Service:
		v.services[typed.Name] = typed
	case *model.Contract:
		return v.addContract(typed)
	case *model.Assignment:
		v.assignments[typed.Service] = typed
	}
	return nil
}

// errDuplicateToken reports that two contracts have the same token.
var errDuplicateToken = errors.New("another contract has the same token")

// addContract rejects the later of two contracts with the same token. Objects are added
// in order of version, so every VM keeps the same contract.
func (v *View) addContract(c *model.Contract) error {
	hash := strings.ToLower(c.TokenSHA256)
	if held := v.byToken[hash]; held != nil {
		return fmt.Errorf("customer %s: %w", held.Customer, errDuplicateToken)
	}
	v.byToken[hash] = c
	return nil
}

func (v *View) addGrant(g *wire.Grant) {
	for _, s := range g.Slices {
		v.grants[g.Service] = append(v.grants[g.Service], ownedSlice{slice: s, grant: g})
	}
}

// LongestDeadline returns the longest deadline that any service allows.
func (v *View) LongestDeadline() time.Duration {
	var longest time.Duration
	for _, s := range v.services {
		longest = max(longest, s.MaxDeadline.D())
	}
	return longest
}

// Service returns the service with the given name, or nil.
func (v *View) Service(name string) *model.Service { return v.services[name] }

// Services returns all services, sorted by name.
func (v *View) Services() []*model.Service {
	out := make([]*model.Service, 0, len(v.services))
	for _, s := range v.services {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Assignment returns the assignment of a service, or nil.
func (v *View) Assignment(service string) *model.Assignment { return v.assignments[service] }

// ContractOf returns the contract for a bearer token, or nil.
func (v *View) ContractOf(token string) *model.Contract {
	sum := sha256.Sum256([]byte(token))
	return v.byToken[hex.EncodeToString(sum[:])]
}

// Contracts returns all contracts, sorted by customer.
func (v *View) Contracts() []*model.Contract {
	out := make([]*model.Contract, 0, len(v.byToken))
	for _, c := range v.byToken {
		out = append(out, c)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Customer < out[j].Customer })
	return out
}

// Owner returns the grant that covers the point, or nil if it has no owner.
func (v *View) Owner(service string, p keyspace.Point) *wire.Grant {
	owned := v.grants[service]
	i := sort.Search(len(owned), func(i int) bool { return owned[i].slice.Last >= p })
	if i == len(owned) || !owned[i].slice.Contains(p) {
		return nil
	}
	return owned[i].grant
}

// Dispatchers returns the members that accept requests, in the order of Members.
func (v *View) Dispatchers() []wire.Member {
	out := make([]wire.Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.DispatchAddr != "" && !m.Leaving {
			out = append(out, m)
		}
	}
	return out
}
