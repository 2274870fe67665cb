#include "t/lib/clock_shift.h"

#include <glib.h>
#include <unistd.h>

struct clock_shift {
	char *path;
	int fd;
	clock_shift_file_t content;
};

static void write_content(const clock_shift_t *shift)
{
	/* A copy, which gcc with sanitizers does not take for its first member.
	 */
	clock_shift_file_t content = shift->content;

	g_assert_cmpint(pwrite(shift->fd, &content, sizeof(content), 0), ==,
			sizeof(content));
}

clock_shift_t *clock_shift_new(void)
{
	clock_shift_t *shift = g_new0(clock_shift_t, 1);

	shift->fd = g_file_open_tmp("clock-shift-XXXXXX", &shift->path, NULL);
	g_assert_cmpint(shift->fd, >=, 0);
	clock_shift_set(shift, 0);
	return shift;
}

void clock_shift_free(clock_shift_t *shift)
{
	if (!shift)
		return;
	close(shift->fd);
	unlink(shift->path);
	g_free(shift->path);
	g_free(shift);
}

void clock_shift_set(clock_shift_t *shift, int64_t shift_ms)
{
	shift->content.time_of_day_ms = shift_ms;
	write_content(shift);
}

void clock_shift_suspend(clock_shift_t *shift, int64_t duration_ms)
{
	shift->content.suspended_ms += duration_ms;
	write_content(shift);
}

void clock_shift_use(const clock_shift_t *shift)
{
	g_setenv("CLOCK_SHIFT_FILE", shift->path, TRUE);
}
