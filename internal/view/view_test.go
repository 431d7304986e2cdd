package view

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hemlockquay/internal/model"
	"hemlockquay/internal/platform"
)

// tokenHash is the SHA-256 of "a".
const tokenHash = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"

func contract(name, hash string, version uint64) platform.Object {
	return platform.Object{Kind: model.KindContract, Name: name, Version: version, Spec: fmt.Appendf(nil,
		`{"customer":%q,"tokenSHA256":%q,"services":[{"service":"s","rate":%d,"burst":1,"concurrency":1}]}`, name, hash, version)}
}

// Two contracts have the same token hash, one in upper case. If both were accepted, the
// limits of a caller would depend on the order in which a VM read them. Every VM must
// reject the later contract and keep the earlier one.
func TestLaterContractWithSameTokenIsRefused(t *testing.T) {
	first, second := contract("z", strings.ToUpper(tokenHash), 3), contract("b", tokenHash, 4)
	for _, objects := range [][]platform.Object{{first, second}, {second, first}} {
		v := Build(objects, nil, nil)
		require.Equal(t, "z", v.ContractOf("a").Customer)
		require.Len(t, v.Problems, 1)
		require.Contains(t, v.Problems[0], "contract b version 4")
	}
}

// If the cache returned a replaced or deleted object, outdated limits would stay in force.
func TestCacheFollowsVersions(t *testing.T) {
	var c Cache
	require.Equal(t, 3.0, c.Build([]platform.Object{contract("a", tokenHash, 3)}, nil, nil).ContractOf("a").Services[0].Rate)
	require.Equal(t, 5.0, c.Build([]platform.Object{contract("a", tokenHash, 5)}, nil, nil).ContractOf("a").Services[0].Rate)
	require.Nil(t, c.Build(nil, nil, nil).ContractOf("a"))
}
