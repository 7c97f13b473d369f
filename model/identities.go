package model

import "strconv"

// Identities returns an identity for each of the names of one kind, no two of which have the same. It is the hash of the
// name, unless names share that: then it is another hash of each of them, and nothing has the shared one. So what was
// decided just before the second name was added isn't carried out for the wrong name. The result depends only on which
// names there are, so that all routers with one configuration have the same.
//
// shared are the names that share a hash, each once.
func Identities(names []string) (ids []uint32, shared []string) {
	return identities(names, NameHash)
}

func identities(names []string, hash func(string) uint32) (ids []uint32, shared []string) {
	ids = make([]uint32, len(names))
	taken := make(map[uint32]string, len(names))
	sharing := map[string]bool{}
	for i, name := range names {
		ids[i] = hash(name)
		other, known := taken[ids[i]]
		if !known {
			taken[ids[i]] = name
			continue
		}
		if other == name {
			continue
		}
		for _, n := range []string{other, name} {
			if !sharing[n] {
				sharing[n] = true
				shared = append(shared, n)
			}
		}
	}
	if len(shared) == 0 {
		return ids, nil
	}
	rehashed := rehash(shared, taken, hash)
	for i, name := range names {
		if id, ok := rehashed[name]; ok {
			ids[i] = id
		}
	}
	return ids, shared
}

// rehash returns another hash of each name that isn't taken, and that no other of the names has.
func rehash(names []string, taken map[uint32]string, hash func(string) uint32) map[string]uint32 {
	out := map[string]uint32{}
	for attempt := 1; len(names) > 0; attempt++ {
		byHash := map[uint32][]string{}
		for _, name := range names {
			h := hash(name + "\x01" + strconv.Itoa(attempt))
			byHash[h] = append(byHash[h], name)
		}
		names = nil
		for h, found := range byHash {
			if _, used := taken[h]; used || len(found) > 1 {
				names = append(names, found...)
				continue
			}
			out[found[0]] = h
			taken[h] = found[0]
		}
	}
	return out
}
