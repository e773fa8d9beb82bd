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

// parseTokenHash decodes a hash in hex.
func parseTokenHash(text string) (tokenHash, error) {
	var hash tokenHash
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, errors.Errorf("hash of a token has %d digits", len(text))
	}
	_, err := hex.Decode(hash[:], []byte(text))
	return hash, errors.Wrap(err, "read hash of a token")
}

// accountIndex finds accounts by the hash of their token. It is immutable once its
// catalog is built.
type accountIndex struct {
	paths map[tokenHash]string
	// lastReadable holds, by path, the last readable value of the accounts whose
	// newest value cannot be read.
	lastReadable map[string]*Account
	// duplicateTokens is set once two accounts have had the same token, until a
	// rebuild finds no such accounts. While it is set, the token belongs to the first
	// of them in path order, and the index is rebuilt from all accounts at each change.
	duplicateTokens bool
}

// path returns the path of the account with a token's SHA-256, in hex.
func (x accountIndex) path(tokenSHA256 string) (string, bool) {
	hash, err := parseTokenHash(tokenSHA256)
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

// AccountOf returns the account of a team with a name.
func (c *Catalog) AccountOf(team, name string) (*Account, bool) {
	return c.accountAt(schema.Path{Kind: schema.KindAccount, Team: team, Name: name}.String())
}

// accountAt returns the account at a path with its last readable value.
func (c *Catalog) accountAt(path string) (*Account, bool) {
	return c.accounts.read(c.snapshot, path)
}

// read returns the account at a path with its last readable value.
func (x accountIndex) read(snapshot *settings.Snapshot, path string) (*Account, bool) {
	if account, ok := x.lastReadable[path]; ok {
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
	account, err := decodeAccount(parsed, entry.Value)
	return account, err == nil
}

// decodeAccount decodes the value of an account. The account is nil on error.
func decodeAccount(path schema.Path, value []byte) (*Account, error) {
	account := &Account{Name: path.Name, Team: path.Team}
	if err := json.Unmarshal(value, &account.Account); err != nil {
		return nil, errors.Wrap(err, "decode account")
	}
	if _, err := parseTokenHash(account.TokenSHA256); err != nil {
		return nil, err
	}
	if err := checkClass(account.Class); err != nil {
		return nil, err
	}
	return account, nil
}

// isAccountPath reports whether path is that of an account.
func isAccountPath(path string) bool {
	parsed, err := schema.ParsePath(path)
	return err == nil && parsed.Kind == schema.KindAccount
}

// changedAccount is an account that is new or has a new value.
type changedAccount struct {
	path    string
	account *Account // nil if the value cannot be read
}

// updated returns the account index for catalog c, based on the index x of the previous
// catalog and the accounts that have changed since. c.items must already be set.
func (x accountIndex) updated(previous, c *Catalog, changed []changedAccount) accountIndex {
	deleted := deletedAccounts(previous, c)
	if len(deleted) == 0 && len(changed) == 0 {
		return x
	}
	updated := accountIndex{paths: maps.Clone(x.paths), lastReadable: maps.Clone(x.lastReadable), duplicateTokens: x.duplicateTokens}
	if updated.paths == nil {
		updated.paths = make(map[tokenHash]string, len(changed))
	}
	for _, path := range deleted {
		updated.remove(previous, path)
	}
	for _, account := range changed {
		updated.update(previous, account)
	}
	if updated.duplicateTokens {
		updated.rebuild(c)
	}
	return updated
}

// deletedAccounts returns the paths of the accounts in previous that c no longer has.
func deletedAccounts(previous, c *Catalog) []string {
	var deleted []string
	items := c.items
	for _, old := range previous.items {
		for len(items) > 0 && items[0].path < old.path {
			items = items[1:]
		}
		if len(items) > 0 && items[0].path == old.path {
			continue
		}
		if isAccountPath(old.path) {
			deleted = append(deleted, old.path)
		}
	}
	return deleted
}

// remove removes the account that previous had at path.
func (x *accountIndex) remove(previous *Catalog, path string) {
	account, ok := previous.accountAt(path)
	if !ok {
		return
	}
	delete(x.lastReadable, path)
	hash, err := parseTokenHash(account.TokenSHA256)
	if err == nil && x.paths[hash] == path {
		delete(x.paths, hash)
	}
}

// update indexes the new value of an account. If it cannot be read, the value in
// previous is kept.
func (x *accountIndex) update(previous *Catalog, changed changedAccount) {
	if changed.account != nil {
		x.remove(previous, changed.path)
		x.add(changed.path, changed.account)
		return
	}
	readable, ok := previous.accountAt(changed.path)
	if !ok {
		return
	}
	if x.lastReadable == nil {
		x.lastReadable = make(map[string]*Account)
	}
	x.lastReadable[changed.path] = readable
}

// add indexes an account. If another one has the same token, the first in path order
// is indexed.
func (x *accountIndex) add(path string, account *Account) {
	hash, err := parseTokenHash(account.TokenSHA256)
	if err != nil {
		return
	}
	if holder, taken := x.paths[hash]; taken && holder != path {
		x.duplicateTokens = true
		path = min(path, holder)
	}
	x.paths[hash] = path
}

// rebuild rebuilds the index from all accounts of c.
func (x *accountIndex) rebuild(c *Catalog) {
	*x = accountIndex{paths: make(map[tokenHash]string, len(x.paths)), lastReadable: x.lastReadable}
	for _, it := range c.items {
		if it.value != nil || !isAccountPath(it.path) {
			continue
		}
		if account, ok := x.read(c.snapshot, it.path); ok {
			x.add(it.path, account)
		}
	}
}
