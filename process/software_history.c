#include "process/software_history.h"

#include <stdio.h>
#include <string.h>

/** Note of versions that it does not name. */
#define NOTE_UNLISTED "*"

enum {
	/** Most hex digits of a number in a note. */
	NOTE_DIGITS_MAX = 8,
	/** Longest entry of a note with a comma and a NUL, bytes. */
	NOTE_ENTRY_MAX_BYTES = 2 * NOTE_DIGITS_MAX + 3,
};

void software_history_init(software_history_t *history, uint64_t now_ms)
{
	memset(history, 0, sizeof(*history));
	history->started_ms = now_ms;
	history->stepped_ms = now_ms;
}

static bool is_kept(const software_entry_t *entry, uint64_t now_ms)
{
	return now_ms < entry->last_ms + SOFTWARE_KEEP_MS;
}

/** Whether two entries are different versions of one service. */
static bool is_other_version(const software_key_t *a, const software_key_t *b)
{
	return a->service == b->service && a->software != b->software;
}

static software_entry_t *find(software_history_t *history,
			      const software_key_t *key)
{
	for (size_t i = 0; i < history->count; i++) {
		software_entry_t *entry = &history->entries[i];

		if (entry->key.service == key->service &&
		    entry->key.software == key->software)
			return entry;
	}
	return NULL;
}

static bool was_other_seen(const software_history_t *history,
			   const software_key_t *key)
{
	for (size_t i = 0; i < history->count; i++) {
		const software_entry_t *entry = &history->entries[i];

		if (entry->seen && is_other_version(&entry->key, key))
			return true;
	}
	return false;
}

static void extend(uint64_t *until_ms, uint64_t to_ms)
{
	if (*until_ms < to_ms)
		*until_ms = to_ms;
}

static void set_unlisted(software_history_t *history, uint64_t now_ms)
{
	extend(&history->unlisted_until_ms, now_ms + SOFTWARE_KEEP_MS);
}

static void remove_expired(software_history_t *history, uint64_t now_ms)
{
	size_t kept = 0;

	for (size_t i = 0; i < history->count; i++) {
		if (is_kept(&history->entries[i], now_ms))
			history->entries[kept++] = history->entries[i];
	}
	history->count = kept;
}

/** Entry to overwrite: the one that was last seen first; NULL if all were seen
 * just now. */
static software_entry_t *find_oldest(software_history_t *history,
				     uint64_t now_ms)
{
	software_entry_t *oldest = NULL;

	for (size_t i = 0; i < history->count; i++) {
		software_entry_t *entry = &history->entries[i];

		if (entry->last_ms < now_ms &&
		    (!oldest || entry->last_ms < oldest->last_ms))
			oldest = entry;
	}
	return oldest;
}

static void add(software_history_t *history, const software_key_t *key,
		uint64_t now_ms)
{
	bool is_new = was_other_seen(history, key);
	software_entry_t *entry;

	if (history->count < SOFTWARE_HISTORY_MAX) {
		entry = &history->entries[history->count++];
	} else {
		set_unlisted(history, now_ms);
		entry = find_oldest(history, now_ms);
		if (!entry)
			return;
	}
	*entry = (software_entry_t){ .key = *key,
				     .first_ms = now_ms,
				     .last_ms = now_ms,
				     .is_new = is_new };
}

static void apply_present(software_history_t *history,
			  const software_key_t *present, size_t count,
			  uint64_t now_ms)
{
	software_entry_t *entry;

	/* Before the others expire: after a pause of this process, versions
	 * that are still present go on. */
	for (size_t i = 0; i < count; i++) {
		entry = find(history, &present[i]);
		if (entry)
			entry->last_ms = now_ms;
	}
	remove_expired(history, now_ms);
	for (size_t i = 0; i < count; i++) {
		if (!find(history, &present[i]))
			add(history, &present[i], now_ms);
	}
	/* After all were added: versions that appear in one step are not new to
	 * each other. */
	for (size_t i = 0; i < count; i++) {
		entry = find(history, &present[i]);
		if (entry)
			entry->seen = true;
	}
}

static void apply_peers(software_history_t *history,
			const software_peers_t *peers, uint64_t now_ms)
{
	if (!history->complete && peers->any_complete) {
		history->complete = true;
		if (peers->any_mixed)
			set_unlisted(history, now_ms);
	}
	if (!peers->any_mixed)
		return;
	extend(&history->mixed_until_ms, now_ms + SOFTWARE_NEW_MS);
	/* Versions that left before this instance started may be known only to
	 * instances that end soon. */
	if (now_ms < history->started_ms + SOFTWARE_KEEP_MS)
		extend(&history->unlisted_until_ms,
		       history->started_ms + SOFTWARE_KEEP_MS);
}

void software_history_step(software_history_t *history,
			   const software_key_t *present, size_t count,
			   const software_peers_t *peers, uint64_t now_ms)
{
	history->stepped_ms = now_ms;
	apply_present(history, present, count, now_ms);
	apply_peers(history, peers, now_ms);
	if (now_ms >= history->started_ms + SOFTWARE_KEEP_MS)
		history->complete = true;
}

/** Reads a number of 1 to NOTE_DIGITS_MAX hex digits and the mark after it. */
static bool read_number(const char **text, char mark, uint32_t *number)
{
	static const char digits[] = "0123456789abcdef";
	const char *at = *text;
	size_t len = strspn(at, digits);

	if (!len || len > NOTE_DIGITS_MAX || at[len] != mark)
		return false;
	*number = 0;
	for (size_t i = 0; i < len; i++)
		*number = *number << 4 |
			  (uint32_t)(strchr(digits, at[i]) - digits);
	*text = at + len;
	return true;
}

/** Reads `service:software`; `text` is then at the comma or the end. */
static bool read_key(const char **text, software_key_t *key)
{
	if (!read_number(text, ':', &key->service))
		return false;
	++*text;
	return read_number(text, ',', &key->software) ||
	       read_number(text, '\0', &key->software);
}

static bool apply_note(software_history_t *history, const char *note,
		       uint64_t now_ms)
{
	software_key_t key;
	software_entry_t *entry;

	if (!*note)
		return true;
	while (read_key(&note, &key)) {
		entry = find(history, &key);
		if (entry)
			extend(&entry->last_ms, now_ms);
		else
			add(history, &key, now_ms);
		if (!*note)
			return true;
		note++;
	}
	return false;
}

void software_history_read_note(software_history_t *history, const char *note,
				uint64_t now_ms)
{
	history->stepped_ms = now_ms;
	remove_expired(history, now_ms);
	if (!apply_note(history, note, now_ms))
		set_unlisted(history, now_ms);
	history->complete = true;
}

/** Whether `entries` have several versions of some service. */
static bool are_entries_mixed(const software_history_t *history,
			      uint64_t now_ms)
{
	for (size_t i = 1; i < history->count; i++) {
		const software_entry_t *entry = &history->entries[i];

		if (!is_kept(entry, now_ms))
			continue;
		for (size_t j = 0; j < i; j++) {
			const software_entry_t *other = &history->entries[j];

			if (is_kept(other, now_ms) &&
			    is_other_version(&entry->key, &other->key))
				return true;
		}
	}
	return false;
}

static bool write_entries(const software_history_t *history,
			  char note[SOFTWARE_NOTE_MAX_BYTES])
{
	size_t len = 0;

	note[0] = '\0';
	for (size_t i = 0; i < history->count; i++) {
		const software_entry_t *entry = &history->entries[i];
		char text[NOTE_ENTRY_MAX_BYTES];
		int added;

		if (!is_kept(entry, history->stepped_ms))
			continue;
		added = snprintf(text, sizeof(text), "%s%x:%x", len ? "," : "",
				 entry->key.service, entry->key.software);
		if (len + (size_t)added >= SOFTWARE_NOTE_MAX_BYTES)
			return false;
		memcpy(note + len, text, (size_t)added + 1);
		len += (size_t)added;
	}
	return true;
}

void software_history_write_note(const software_history_t *history,
				 char note[SOFTWARE_NOTE_MAX_BYTES])
{
	uint64_t now_ms = history->stepped_ms;

	if ((software_history_is_mixed(history, now_ms) &&
	     !are_entries_mixed(history, now_ms)) ||
	    !write_entries(history, note))
		memcpy(note, NOTE_UNLISTED, sizeof(NOTE_UNLISTED));
}

bool software_history_is_mixed(const software_history_t *history,
			       uint64_t now_ms)
{
	return now_ms < history->mixed_until_ms ||
	       software_history_says_mixed(history, now_ms);
}

bool software_history_says_mixed(const software_history_t *history,
				 uint64_t now_ms)
{
	return now_ms < history->unlisted_until_ms ||
	       are_entries_mixed(history, now_ms);
}

bool software_history_is_complete(const software_history_t *history)
{
	return history->complete;
}

bool software_history_is_new(const software_history_t *history,
			     software_key_t key, uint64_t now_ms)
{
	for (size_t i = 0; i < history->count; i++) {
		const software_entry_t *entry = &history->entries[i];

		if (entry->key.service == key.service &&
		    entry->key.software == key.software)
			return entry->is_new &&
			       now_ms < entry->first_ms + SOFTWARE_NEW_MS;
	}
	/* Without room it may have been present for long. */
	return history->count < SOFTWARE_HISTORY_MAX &&
	       was_other_seen(history, &key);
}
