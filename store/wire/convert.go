package wire

import "github.com/yuccaroute/yuccaroute/store"

// FromEntry converts an entry to its message.
func FromEntry(entry store.Entry) Entry {
	return Entry(entry)
}

// Store converts the message to an entry.
func (e Entry) Store() store.Entry {
	return store.Entry(e)
}

// FromListing converts a listing to its message.
func FromListing(listing store.Listing) ListAnswer {
	answer := ListAnswer{At: listing.At, Entries: make([]Entry, len(listing.Entries))}
	for i, entry := range listing.Entries {
		answer.Entries[i] = FromEntry(entry)
	}
	return answer
}

// Store converts the message to a listing.
func (a ListAnswer) Store() store.Listing {
	listing := store.Listing{At: a.At, Entries: make([]store.Entry, len(a.Entries))}
	for i, entry := range a.Entries {
		listing.Entries[i] = entry.Store()
	}
	return listing
}

// FromBatch converts a batch to its message.
func FromBatch(batch store.Batch) WatchAnswer {
	answer := WatchAnswer{At: batch.At, Reset: batch.Reset}
	for _, ev := range batch.Events {
		answer.Events = append(answer.Events, Event{Entry: FromEntry(ev.Entry), Deleted: ev.Deleted})
	}
	return answer
}

// Store converts the message to a batch.
func (a WatchAnswer) Store() store.Batch {
	batch := store.Batch{At: a.At, Reset: a.Reset}
	for _, ev := range a.Events {
		batch.Events = append(batch.Events, store.Event{Entry: ev.Entry.Store(), Deleted: ev.Deleted})
	}
	return batch
}
