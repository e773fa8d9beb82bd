package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"quetzalbend/internal/core/schema"
	"quetzalbend/internal/core/settings"
)

// tokenHash is the SHA-256 of a bearer token.
type tokenHash [sha256.Size]byte

// parseToken reads a hash in hex.
func parseToken(text string) (tokenHash, error) {
	var hash tokenHash
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, errors.Errorf("hash of a token has %d digits", len(text))
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, errors.Wrap(err, "read hash of a token")
}

// accountIndex finds accounts by token. It is immutable.
type accountIndex struct {
	paths map[tokenHash]string
	// kept holds the accounts whose newest value cannot be read, by path.
	kept map[string]*Account
	// shared says that two accounts have, or had, one token. The first in path
	// order then has it, and the index is built anew at each change.
	shared bool
}

// path returns the path of the account with a token.
func (x accountIndex) path(tokenSHA256 string) (string, bool) {
	hash, err := parseToken(tokenSHA256)
	if err != nil {
		return "", false
	}
	path, ok := x.paths[hash]
	return path, ok
}

// Account returns the account with a bearer token's SHA-256, in hex.
func (c *Catalog) Account(tokenSHA256 string) (*Account, bool) {
	path, ok := c.accounts.path(tokenSHA256)
	if !ok {
		return nil, false
	}
	return c.accountAt(path)
}

// accountAt returns the account at a path, as it can be read.
func (c *Catalog) accountAt(path string) (*Account, bool) {
	return c.accounts.at(c.snapshot, path)
}

func (x accountIndex) at(snapshot *settings.Snapshot, path string) (*Account, bool) {
	if account, ok := x.kept[path]; ok {
		return account, true
	}
	entry, ok := snapshot.Get(path)
	if !ok {
		return nil, false
	}
	parsed, err := schema.ParsePath(path)
	if err != nil {
		return nil, false
	}
	account, err := readAccount(parsed, entry.Value)
	return account, err == nil
}

// readAccount reads the value of an account; nil if that fails.
func readAccount(path schema.Path, value []byte) (*Account, error) {
	account := &Account{Name: path.Name, Team: path.Team}
	if err := json.Unmarshal(value, &account.Account); err != nil {
		return nil, errors.Wrap(err, "decode account")
	}
	if _, err := parseToken(account.TokenSHA256); err != nil {
		return nil, err
	}
	if err := knownClass(account.Class); err != nil {
		return nil, err
	}
	return account, nil
}

// isAccountPath reports whether an account stands at path.
func isAccountPath(path string) bool {
	parsed, err := schema.ParsePath(path)
	return err == nil && parsed.Kind == schema.KindAccount
}

// changedAccount is an account with a new value; nil if it cannot be read.
type changedAccount struct {
	path    string
	account *Account
}

// next returns the index of a catalog whose items are set, from that of the
// previous one and the accounts that have changed since.
func (x accountIndex) next(previous, c *Catalog, changed []changedAccount) accountIndex {
	gone := goneAccounts(previous, c)
	if len(gone) == 0 && len(changed) == 0 {
		return x
	}
	next := accountIndex{paths: maps.Clone(x.paths), kept: maps.Clone(x.kept), shared: x.shared}
	if next.paths == nil {
		next.paths = make(map[tokenHash]string, len(changed))
	}
	for _, path := range gone {
		next.drop(previous, path)
	}
	for _, account := range changed {
		next.change(previous, account)
	}
	if next.shared {
		next.rebuild(c)
	}
	return next
}

// goneAccounts returns the paths of accounts that were deleted.
func goneAccounts(previous, c *Catalog) []string {
	var gone []string
	items := c.items
	for _, old := range previous.items {
		for len(items) > 0 && items[0].path < old.path {
			items = items[1:]
		}
		if len(items) > 0 && items[0].path == old.path {
			continue
		}
		if isAccountPath(old.path) {
			gone = append(gone, old.path)
		}
	}
	return gone
}

// drop forgets the account that previous had at path.
func (x *accountIndex) drop(previous *Catalog, path string) {
	account, ok := previous.accountAt(path)
	if !ok {
		return
	}
	delete(x.kept, path)
	hash, err := parseToken(account.TokenSHA256)
	if err == nil && x.paths[hash] == path {
		delete(x.paths, hash)
	}
}

// change takes in a new value. One that cannot be read leaves what previous had.
func (x *accountIndex) change(previous *Catalog, changed changedAccount) {
	if changed.account != nil {
		x.drop(previous, changed.path)
		x.add(changed.path, changed.account)
		return
	}
	before, ok := previous.accountAt(changed.path)
	if !ok {
		return
	}
	if x.kept == nil {
		x.kept = make(map[string]*Account)
	}
	x.kept[changed.path] = before
}

func (x *accountIndex) add(path string, account *Account) {
	hash, err := parseToken(account.TokenSHA256)
	if err != nil {
		return
	}
	if holder, taken := x.paths[hash]; taken && holder != path {
		x.shared = true
		path = min(path, holder)
	}
	x.paths[hash] = path
}

// rebuild fills the index from all accounts.
func (x *accountIndex) rebuild(c *Catalog) {
	*x = accountIndex{paths: make(map[tokenHash]string, len(x.paths)), kept: x.kept}
	for _, i := range c.items {
		if i.value != nil || !isAccountPath(i.path) {
			continue
		}
		if account, ok := x.at(c.snapshot, i.path); ok {
			x.add(i.path, account)
		}
	}
}
