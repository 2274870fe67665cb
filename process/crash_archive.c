#include "process/crash_archive.h"

#include "process/error.h"

static bool is_write_due(const crash_archive_t *archive,
			 const crash_snapshot_t *current, uint64_t now_ms)
{
	if (archive->changed_ms &&
	    now_ms - archive->changed_ms < CRASH_ARCHIVE_INTERVAL_MS)
		return false;
	return !crash_snapshot_contains(&archive->stored, current) ||
	       !crash_snapshot_contains(current, &archive->stored);
}

crash_archive_action_t crash_archive_step(crash_archive_t *archive,
					  const crash_archive_input_t *input,
					  uint64_t now_ms)
{
	if (archive->calling || !input->reachable || now_ms < archive->retry_ms)
		return CRASH_ARCHIVE_NONE;
	if (!archive->loaded) {
		archive->calling = true;
		return CRASH_ARCHIVE_READ;
	}
	if (!input->writer || !input->current ||
	    !is_write_due(archive, input->current, now_ms))
		return CRASH_ARCHIVE_NONE;
	archive->calling = true;
	archive->sent = *input->current;
	return CRASH_ARCHIVE_WRITE;
}

void crash_archive_on_read(crash_archive_t *archive, int err, uint64_t revision,
			   const crash_snapshot_t *rows, uint64_t now_ms)
{
	archive->calling = false;
	if (err && err != ERR_NOT_FOUND) {
		archive->retry_ms = now_ms + CRASH_ARCHIVE_RETRY_MS;
		return;
	}
	archive->loaded = true;
	archive->revision = err ? 0 : revision;
	archive->stored.count = 0;
	if (err)
		return;
	archive->stored = *rows;
	archive->changed_ms = now_ms;
}

void crash_archive_on_written(crash_archive_t *archive, int err,
			      uint64_t revision, uint64_t now_ms)
{
	archive->calling = false;
	switch (err) {
	case 0:
		archive->stored = archive->sent;
		archive->revision = revision;
		archive->changed_ms = now_ms;
		return;
	case ERR_STORE_CONDITION:
		/* Another instance has written; read that first. */
		archive->loaded = false;
		return;
	case ERR_NOT_FOUND:
		archive->revision = 0;
		archive->stored.count = 0;
		return;
	default:
		archive->retry_ms = now_ms + CRASH_ARCHIVE_RETRY_MS;
		return;
	}
}
