#include "version/config_source.h"

#include "process/cleanup.h"
#include "process/metrics.h"
#include "version/config.h"

int config_source_bootstrap(const char *path, ticket_state_t *state)
{
	CLEANUP_JSON json_t *root = json_load_file(path, 0, NULL);
	json_t *wrapped = json_object_get(root, "objects");
	config_problem_t problem = { 0 };
	config_t *config;
	int err;

	if (json_object_get(root, "numbers"))
		return ticket_state_from_json(root, state);
	err = config_build(0, wrapped ? wrapped : root, &config, &problem);
	if (!err)
		config_publish(config);
	return err;
}

bool config_source_is_published(void)
{
	CLEANUP_CONFIG config_t *config = config_acquire();

	return config != NULL;
}

static int64_t store_calls(void)
{
	int64_t sum = 0;

	for (int i = METRIC_STORE_CALLS_ORDER; i <= METRIC_STORE_CALLS_STATUS;
	     i++)
		sum += metrics_get((metric_t)i);
	return sum;
}

void config_source_record_start(config_sync_action_kind_t kind)
{
	metric_t metric = METRIC_START_BOOTSTRAP;

	if (kind == CONFIG_SYNC_FETCH_PEER)
		metric = METRIC_START_PEER;
	else if (kind == CONFIG_SYNC_FETCH_STORE)
		metric = METRIC_START_STORE;
	metrics_set(metric, 1);
	metrics_set(METRIC_START_STORE_CALLS, store_calls());
}

const char *config_source_name(config_sync_action_kind_t kind)
{
	switch (kind) {
	case CONFIG_SYNC_FETCH_PEER:
		return "peer";
	case CONFIG_SYNC_FETCH_STORE:
		return "store";
	default:
		return "bootstrap";
	}
}
