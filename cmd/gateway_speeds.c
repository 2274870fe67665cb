/* Speeds of endpoints: what the front thread learned and what peers report,
 * relative to the others of each service. */
#include <math.h>
#include <stdlib.h>

#include "cmd/gateway_peers.h"
#include "process/metrics.h"
#include "process/placement.h"

/** Expected time to which speed_summary_t::answer_ratio relates, us. */
#define PLAIN_EXPECTED_US (1000 * PLACEMENT_PLAIN_MS)

static void read_estimates(const view_group_t *group, speed_endpoint_t *speeds)
{
	for (size_t i = 0; i < group->count; i++) {
		const endpoint_load_t *load = group->entries[i]->load;

		for (int kind = 0; kind < SPEED_KIND_COUNT; kind++)
			speeds[i].own[kind] =
				atomic_load(&load->own_speed[kind]);
		speeds[i].peers = load->peer_speed;
	}
}

static void store_speeds(const view_group_t *group,
			 const speed_endpoint_t *speeds,
			 const speed_summary_t *summary, bool is_plain)
{
	for (size_t i = 0; i < group->count; i++) {
		endpoint_load_t *load = group->entries[i]->load;

		atomic_store(&load->speed_permille,
			     (uint32_t)lround(1000 * speeds[i].speed));
		load->speed_byte = speeds[i].byte;
		if (is_plain && summary->answer_ratio > 0)
			atomic_store(&load->latency_us,
				     (uint32_t)lround(PLAIN_EXPECTED_US /
						      summary->answer_ratio));
	}
}

void gateway_speeds_update(gateway_peers_t *peers, uint64_t new_ms,
			   uint64_t now_ms)
{
	const view_t *view = peers->control->view_builder.view;
	size_t count = view ? view->endpoint_count : 0;
	double *scratch = calloc(count + 1, sizeof(*scratch));
	speed_endpoint_t *speeds = calloc(count + 1, sizeof(*speeds));
	size_t learned = 0;

	peers->speeds_differ = false;
	for (size_t s = 0;
	     scratch && speeds && count && s < view->desired->service_count;
	     s++) {
		const view_group_t *group = &view->groups[s];
		speed_summary_t summary;

		read_estimates(group, speeds);
		summary = endpoint_speed_compute(speeds, group->count, new_ms,
						 now_ms, scratch);
		store_speeds(group, speeds, &summary,
			     view->desired->services[s].role == SERVICE_PLAIN);
		peers->speeds_differ |= summary.differ;
		learned += summary.learned;
	}
	free(speeds);
	free(scratch);
	metrics_set(METRIC_SPEEDS_LEARNED, (int64_t)learned);
}
