#include "process/placement_draw.h"

#include "process/hash.h"

/** Halvings of the interval in which the level is searched: finds it to less
 * than a thousandth of a request. */
#define LEVEL_STEPS 24

static double positive(double value)
{
	return value > 0 ? value : 0;
}

static double room_below(const draw_load_t *load, double level)
{
	return load->speed > 0 ? positive(level * load->speed - load->requests)
			       : 0;
}

/* Level per speed 1 at which the room of all is `requests`. */
static double find_level(const draw_load_t *loads, size_t count,
			 double requests)
{
	double low = 0;
	double high = 1;
	double speeds = 0;

	/* All load and the new requests fit below it. */
	for (size_t i = 0; i < count; i++) {
		if (loads[i].speed <= 0)
			continue;
		speeds += loads[i].speed;
		if (loads[i].requests / loads[i].speed > high)
			high = loads[i].requests / loads[i].speed;
	}
	high += speeds > 0 ? requests / speeds : 0;
	for (int step = 0; step < LEVEL_STEPS; step++) {
		double middle = (low + high) / 2;
		double room = 0;

		for (size_t i = 0; i < count; i++)
			room += room_below(&loads[i], middle);
		if (room < requests)
			low = middle;
		else
			high = middle;
	}
	return high;
}

size_t placement_draw(const draw_load_t *loads, size_t count, double unseen,
		      uint64_t draw)
{
	double requests = unseen > 1 ? unseen : 1;
	double level = find_level(loads, count, requests);
	double left = 0;
	size_t drawn = count;

	for (size_t i = 0; i < count; i++)
		left += room_below(&loads[i], level);
	/* Independent of other uses of the same random number. */
	left *= (double)hash_rendezvous(draw, 0) / (double)UINT64_MAX;
	for (size_t i = 0; i < count; i++) {
		double room = room_below(&loads[i], level);

		if (room <= 0)
			continue;
		drawn = i;
		left -= room;
		if (left <= 0)
			break;
	}
	return drawn;
}
