#include "process/metrics.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/uatomic.h>

#include "process/error.h"

typedef struct metric_info {
	const char *name;
	const char *labels;
	const char *type;
	const char *text;
} metric_info_t;

#define METRIC_COUNTER(symbol, name, labels, text) \
	{ name, labels, "counter", text },
#define METRIC_GAUGE(symbol, name, labels, text) \
	{ name, labels, "gauge", text },
#define METRIC_HISTOGRAM(symbol, name, labels, text)
static const metric_info_t value_info[METRIC_COUNT] = {
#include "process/metrics_list.h"
};
#undef METRIC_COUNTER
#undef METRIC_GAUGE
#undef METRIC_HISTOGRAM

#define METRIC_COUNTER(symbol, name, labels, text)
#define METRIC_GAUGE(symbol, name, labels, text)
#define METRIC_HISTOGRAM(symbol, name, labels, text) \
	{ name, labels, "histogram", text },
static const metric_info_t histogram_info[METRIC_HISTOGRAM_COUNT] = {
#include "process/metrics_list.h"
};
#undef METRIC_COUNTER
#undef METRIC_GAUGE
#undef METRIC_HISTOGRAM

/** Upper bounds of the histogram buckets, milliseconds. */
static const uint32_t bucket_ms[] = { 5,    10,	  20,	 50,	100,  200,
				      350,  500,  800,	 1200,	2000, 3500,
				      5000, 8000, 15000, 30000, 60000 };

#define BUCKET_COUNT (sizeof(bucket_ms) / sizeof(bucket_ms[0]))

typedef struct histogram {
	unsigned long buckets[BUCKET_COUNT + 1];
	unsigned long sum_ms;
} histogram_t;

static long values[METRIC_COUNT];
static unsigned long error_counts[ERR_KIND_COUNT];
static histogram_t histograms[METRIC_HISTOGRAM_COUNT];

void metrics_add(metric_t metric, int64_t amount)
{
	uatomic_add(&values[metric], (long)amount);
}

void metrics_set(metric_t metric, int64_t value)
{
	uatomic_set(&values[metric], (long)value);
}

int64_t metrics_get(metric_t metric)
{
	return uatomic_read(&values[metric]);
}

void metrics_count_error(int err)
{
	if (err > 0 || err <= -ERR_KIND_COUNT)
		err = ERR_INTERNAL;
	uatomic_inc(&error_counts[-err]);
}

void metrics_observe_ms(metric_histogram_t histogram, uint64_t value_ms)
{
	size_t i = 0;

	while (i < BUCKET_COUNT && value_ms > bucket_ms[i])
		i++;
	uatomic_inc(&histograms[histogram].buckets[i]);
	uatomic_add(&histograms[histogram].sum_ms, (unsigned long)value_ms);
}

/** Prints the HELP and TYPE lines, once for metrics that share a name. */
static void print_header(FILE *out, const metric_info_t *infos, size_t i)
{
	if (i && !strcmp(infos[i].name, infos[i - 1].name))
		return;
	fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", infos[i].name,
		infos[i].text, infos[i].name, infos[i].type);
}

static void print_values(FILE *out)
{
	for (size_t i = 0; i < METRIC_COUNT; i++) {
		const metric_info_t *info = &value_info[i];
		bool labelled = *info->labels;

		print_header(out, value_info, i);
		fprintf(out, "%s%s%s%s %ld\n", info->name, labelled ? "{" : "",
			info->labels, labelled ? "}" : "",
			uatomic_read(&values[i]));
	}
}

static void print_histograms(FILE *out)
{
	for (size_t i = 0; i < METRIC_HISTOGRAM_COUNT; i++) {
		const metric_info_t *info = &histogram_info[i];
		const char *comma = *info->labels ? "," : "";
		unsigned long total = 0;

		print_header(out, histogram_info, i);
		for (size_t j = 0; j <= BUCKET_COUNT; j++) {
			char bound[16] = "+Inf";

			total += uatomic_read(&histograms[i].buckets[j]);
			if (j < BUCKET_COUNT)
				snprintf(bound, sizeof(bound), "%" PRIu32,
					 bucket_ms[j]);
			fprintf(out, "%s_bucket{%s%sle=\"%s\"} %lu\n",
				info->name, info->labels, comma, bound, total);
		}
		fprintf(out, "%s_sum{%s} %lu\n%s_count{%s} %lu\n", info->name,
			info->labels, uatomic_read(&histograms[i].sum_ms),
			info->name, info->labels, total);
	}
}

static void print_errors(FILE *out)
{
	fputs("# HELP amv_errors_total Answers by error kind.\n"
	      "# TYPE amv_errors_total counter\n",
	      out);
	for (int i = 1; i < ERR_KIND_COUNT; i++)
		fprintf(out, "amv_errors_total{type=\"%s\"} %lu\n",
			error_type(-i), uatomic_read(&error_counts[i]));
}

char *metrics_print(void)
{
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	if (!out)
		return NULL;
	print_values(out);
	print_histograms(out);
	print_errors(out);
	fclose(out);
	return text;
}
