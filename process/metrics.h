/**
 * @file
 * Counters, gauges and histograms of the process, printed in the Prometheus
 * text format.
 *
 * They are listed in process/metrics_list.h. Updates are atomic operations
 * without locks, so they are allowed on the request path.
 */
#ifndef PROCESS_METRICS_H
#define PROCESS_METRICS_H

#include <stddef.h>
#include <stdint.h>

#define METRIC_COUNTER(symbol, name, labels, text) METRIC_##symbol,
#define METRIC_GAUGE(symbol, name, labels, text) METRIC_##symbol,
#define METRIC_HISTOGRAM(symbol, name, labels, text)
/** Counters and gauges. */
typedef enum metric {
#include "process/metrics_list.h"
	METRIC_COUNT
} metric_t;
#undef METRIC_COUNTER
#undef METRIC_GAUGE
#undef METRIC_HISTOGRAM

#define METRIC_COUNTER(symbol, name, labels, text)
#define METRIC_GAUGE(symbol, name, labels, text)
#define METRIC_HISTOGRAM(symbol, name, labels, text) METRIC_##symbol,
/** Histograms of durations in milliseconds. */
typedef enum metric_histogram {
#include "process/metrics_list.h"
	METRIC_HISTOGRAM_COUNT
} metric_histogram_t;
#undef METRIC_COUNTER
#undef METRIC_GAUGE
#undef METRIC_HISTOGRAM

/** Adds to a counter or gauge; `amount` may be negative for a gauge. */
void metrics_add(metric_t metric, int64_t amount);

/** Sets a gauge. */
void metrics_set(metric_t metric, int64_t value);

/** Current value of a counter or gauge. */
int64_t metrics_get(metric_t metric);

/** Counts one error answer of this kind. */
void metrics_count_error(int err);

/** Adds one duration in milliseconds to a histogram. */
void metrics_observe_ms(metric_histogram_t histogram, uint64_t value_ms);

/**
 * All metrics as Prometheus text.
 * @return a string to free(), or NULL when out of memory
 */
char *metrics_print(void);

#endif
