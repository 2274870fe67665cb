#include "process/rumor.h"

#include <string.h>

#include "process/hash.h"

/** Number of sends per doubling of the member count. */
#define RUMOR_SENDS_PER_DOUBLING 3

void rumor_init(rumor_buffer_t *buffer)
{
	memset(buffer, 0, sizeof(*buffer));
}

/** Hash of a rumor (`full`) or only of the subject it is about. */
static uint64_t rumor_key(const peer_rumor_t *rumor, bool full)
{
	uint64_t parts[4] = { rumor->kind, 0, 0, 0 };

	switch (rumor->kind) {
	case PEER_RUMOR_MEMBER:
		parts[1] = rumor->peer_rumor_t_u.member.id;
		if (full) {
			parts[2] = rumor->peer_rumor_t_u.member.incarnation;
			parts[3] = rumor->peer_rumor_t_u.member.state + 1ULL;
		}
		break;
	case PEER_RUMOR_ENDPOINT:
		parts[1] = rumor->peer_rumor_t_u.endpoint.endpoint;
		if (full) {
			parts[2] = rumor->peer_rumor_t_u.endpoint.incarnation;
			parts[3] = rumor->peer_rumor_t_u.endpoint.leaving + 1U;
		}
		break;
	case PEER_RUMOR_CRASH:
		/* Each crash of a request is a subject of its own. */
		parts[1] = rumor->peer_rumor_t_u.crash.fingerprint;
		parts[2] = rumor->peer_rumor_t_u.crash.crash;
		break;
	case PEER_RUMOR_CLEARED:
		parts[1] = rumor->peer_rumor_t_u.cleared.fingerprint;
		break;
	}
	return hash_chain(0, parts, sizeof(parts));
}

static bool was_seen(const rumor_buffer_t *buffer, uint64_t key)
{
	for (size_t i = 0; i < RUMOR_SEEN_MAX; i++) {
		if (buffer->seen[i] == key)
			return true;
	}
	return false;
}

static void mark_seen(rumor_buffer_t *buffer, uint64_t key)
{
	buffer->seen[buffer->seen_next] = key;
	buffer->seen_next = (buffer->seen_next + 1) % RUMOR_SEEN_MAX;
}

static void remove_entry(rumor_buffer_t *buffer, size_t i)
{
	buffer->entries[i] = buffer->entries[--buffer->count];
}

static size_t most_sent(const rumor_buffer_t *buffer)
{
	size_t best = 0;

	for (size_t i = 1; i < buffer->count; i++) {
		if (buffer->entries[i].sent_count >
		    buffer->entries[best].sent_count)
			best = i;
	}
	return best;
}

static rumor_entry_t *find_or_add_entry(rumor_buffer_t *buffer,
					uint64_t subject)
{
	for (size_t i = 0; i < buffer->count; i++) {
		if (buffer->entries[i].subject == subject)
			return &buffer->entries[i];
	}
	if (buffer->count == RUMOR_BUFFER_MAX)
		remove_entry(buffer, most_sent(buffer));
	return &buffer->entries[buffer->count++];
}

bool rumor_add(rumor_buffer_t *buffer, const peer_rumor_t *rumor)
{
	uint64_t key = rumor_key(rumor, true);
	uint64_t subject = rumor_key(rumor, false);
	rumor_entry_t *entry;

	if (was_seen(buffer, key))
		return false;
	mark_seen(buffer, key);
	entry = find_or_add_entry(buffer, subject);
	entry->rumor = *rumor;
	entry->subject = subject;
	entry->sent_count = 0;
	return true;
}

uint32_t rumor_send_limit(size_t member_count)
{
	uint32_t doublings = 1;

	while (member_count >>= 1)
		doublings++;
	return RUMOR_SENDS_PER_DOUBLING * doublings;
}

static size_t least_sent(const rumor_buffer_t *buffer, const bool *taken)
{
	size_t best = buffer->count;

	for (size_t i = 0; i < buffer->count; i++) {
		if (taken[i])
			continue;
		if (best == buffer->count ||
		    buffer->entries[i].sent_count <
			    buffer->entries[best].sent_count)
			best = i;
	}
	return best;
}

static void drop_fully_sent(rumor_buffer_t *buffer, uint32_t limit)
{
	size_t i = 0;

	while (i < buffer->count) {
		if (buffer->entries[i].sent_count >= limit)
			remove_entry(buffer, i);
		else
			i++;
	}
}

size_t rumor_pick(rumor_buffer_t *buffer, size_t member_count,
		  peer_rumor_t *out, size_t max)
{
	bool taken[RUMOR_BUFFER_MAX] = { false };
	size_t picked = 0;

	while (picked < max) {
		size_t i = least_sent(buffer, taken);

		if (i == buffer->count)
			break;
		taken[i] = true;
		buffer->entries[i].sent_count++;
		out[picked++] = buffer->entries[i].rumor;
	}
	drop_fully_sent(buffer, rumor_send_limit(member_count));
	return picked;
}
