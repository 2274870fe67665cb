#include "cmd/load_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/error.h"

enum { LOAD_PATH_MAX_BYTES = 512 };

static const char *const outcome_names[LOAD_OUTCOME_COUNT] = {
	"complete", "refused", "error", "truncated", "no_answer",
};

load_report_t *load_report_new(const char *name)
{
	load_report_t *report = g_new0(load_report_t, 1);

	report->name = name;
	for (int i = 0; i < LOAD_KIND_COUNT; i++)
		report->ttft_ms[i] = g_array_new(FALSE, FALSE, sizeof(double));
	report->gap_ms = g_array_new(FALSE, FALSE, sizeof(double));
	report->errors =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return report;
}

void load_report_free(load_report_t *report)
{
	for (int i = 0; i < LOAD_KIND_COUNT; i++)
		g_array_free(report->ttft_ms[i], TRUE);
	g_array_free(report->gap_ms, TRUE);
	g_hash_table_destroy(report->errors);
	g_free(report);
}

static void count_error(load_report_t *report, const char *type)
{
	gpointer count = g_hash_table_lookup(report->errors, type);

	g_hash_table_insert(report->errors, g_strdup(type),
			    GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

static void add_tokens(load_report_t *report, const load_result_t *result)
{
	size_t step = result->arrival_ms / LOAD_SERIES_STEP_MS;

	report->prompt_tokens += result->prompt_tokens;
	report->cached_tokens += result->cached_tokens;
	report->ideal_cached_tokens += result->ideal_cached_tokens;
	if (step >= LOAD_SERIES_STEPS_MAX)
		return;
	report->steps[step].prompt_tokens += result->prompt_tokens;
	report->steps[step].cached_tokens += result->cached_tokens;
	report->steps[step].ideal_cached_tokens += result->ideal_cached_tokens;
	report->steps[step].ttft_sum_ms += result->ttft_ms;
	report->steps[step].ttft_count++;
}

void load_report_add(load_report_t *report, const load_result_t *result)
{
	report->outcomes[result->kind][result->outcome]++;
	if (result->error[0])
		count_error(report, result->error);
	if (result->ttft_ms > 0)
		g_array_append_val(report->ttft_ms[result->kind],
				   result->ttft_ms);
	if (result->gap_mean_ms > 0)
		g_array_append_val(report->gap_ms, result->gap_mean_ms);
	/* Only a complete answer reports its cached tokens. */
	if (result->outcome == LOAD_COMPLETE && result->kind != LOAD_ORDER)
		add_tokens(report, result);
}

static gint compare_doubles(gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

/** Sorts the values. @return the `share` quantile, or 0 without values */
static double percentile(GArray *values, double share)
{
	guint rank;

	if (!values->len)
		return 0;
	g_array_sort(values, compare_doubles);
	rank = (guint)(share * values->len);
	if (rank >= values->len)
		rank = values->len - 1;
	return g_array_index(values, double, rank);
}

static double ratio(uint64_t part, uint64_t whole)
{
	return whole ? (double)part / (double)whole : 0;
}

static uint64_t outcome_total(const load_report_t *report,
			      load_outcome_t outcome)
{
	uint64_t total = 0;

	for (int i = 0; i < LOAD_KIND_COUNT; i++)
		total += report->outcomes[i][outcome];
	return total;
}

void load_report_print(load_report_t *const *reports, size_t count)
{
	printf("%-16s %6s %6s %8s %8s %8s %8s %8s %7s %7s %6s %6s\n", "target",
	       "hit", "ideal", "urg p50", "urg p95", "urg p99", "nrm p99",
	       "def p99", "done", "refused", "error", "cut");
	for (size_t i = 0; i < count; i++) {
		load_report_t *report = reports[i];

		printf("%-16s %6.3f %6.3f %8.0f %8.0f %8.0f %8.0f %8.0f "
		       "%7" PRIu64 " %7" PRIu64 " %6" PRIu64 " %6" PRIu64 "\n",
		       report->name,
		       ratio(report->cached_tokens, report->prompt_tokens),
		       ratio(report->ideal_cached_tokens,
			     report->prompt_tokens),
		       percentile(report->ttft_ms[LOAD_VERDICT], 0.50),
		       percentile(report->ttft_ms[LOAD_VERDICT], 0.95),
		       percentile(report->ttft_ms[LOAD_VERDICT], 0.99),
		       percentile(report->ttft_ms[LOAD_QUESTION], 0.99),
		       percentile(report->ttft_ms[LOAD_SUMMARY], 0.99),
		       outcome_total(report, LOAD_COMPLETE),
		       outcome_total(report, LOAD_REFUSED),
		       outcome_total(report, LOAD_ERROR),
		       outcome_total(report, LOAD_TRUNCATED) +
			       outcome_total(report, LOAD_NO_ANSWER));
	}
}

static json_t *kind_json(load_report_t *report, load_kind_t kind)
{
	json_t *object = json_object();

	for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
		json_object_set_new(
			object, outcome_names[i],
			json_integer((json_int_t)report->outcomes[kind][i]));
	json_object_set_new(object, "ttft_p50_ms",
			    json_real(percentile(report->ttft_ms[kind], 0.5)));
	json_object_set_new(object, "ttft_p95_ms",
			    json_real(percentile(report->ttft_ms[kind], 0.95)));
	json_object_set_new(object, "ttft_p99_ms",
			    json_real(percentile(report->ttft_ms[kind], 0.99)));
	return object;
}

static json_t *errors_json(const load_report_t *report)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer type;
	gpointer count;

	g_hash_table_iter_init(&iter, report->errors);
	while (g_hash_table_iter_next(&iter, &type, &count))
		json_object_set_new(object, type,
				    json_integer(GPOINTER_TO_UINT(count)));
	return object;
}

static json_t *report_json(load_report_t *report)
{
	uint64_t missed =
		report->ideal_cached_tokens > report->cached_tokens
			? report->ideal_cached_tokens - report->cached_tokens
			: 0;
	json_t *object = json_pack(
		"{s:s, s:f, s:f, s:f, s:f, s:o}", "target", report->name,
		"hit_rate", ratio(report->cached_tokens, report->prompt_tokens),
		"ideal_hit_rate",
		ratio(report->ideal_cached_tokens, report->prompt_tokens),
		/* Upper bound of recomputed tokens; counts evicted ones too. */
		"recompute_bound", ratio(missed, report->prompt_tokens),
		"gap_p95_ms", percentile(report->gap_ms, 0.95), "errors",
		errors_json(report));

	for (int i = 0; i < LOAD_KIND_COUNT; i++)
		json_object_set_new(object, load_kind_name((load_kind_t)i),
				    kind_json(report, (load_kind_t)i));
	return object;
}

json_t *load_report_json(load_report_t *const *reports, size_t count)
{
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, report_json(reports[i]));
	return list;
}

static void write_series(FILE *out, load_report_t *const *reports, size_t count)
{
	fprintf(out, "# second");
	for (size_t i = 0; i < count; i++)
		fprintf(out, "\t%s", reports[i]->name);
	for (size_t step = 0; step < LOAD_SERIES_STEPS_MAX; step++) {
		if (!reports[0]->steps[step].prompt_tokens)
			continue;
		fprintf(out, "\n%zu", step);
		for (size_t i = 0; i < count; i++)
			fprintf(out, "\t%.4f",
				ratio(reports[i]->steps[step].cached_tokens,
				      reports[i]->steps[step].prompt_tokens));
	}
	fprintf(out, "\n");
}

static void write_distribution(FILE *out, load_report_t *const *reports,
			       size_t count)
{
	for (size_t i = 0; i < count; i++) {
		GArray *values = reports[i]->ttft_ms[LOAD_VERDICT];

		fprintf(out, "# %s\n", reports[i]->name);
		g_array_sort(values, compare_doubles);
		for (guint k = 0; k < values->len; k++)
			fprintf(out, "%.2f\t%.5f\n",
				g_array_index(values, double, k),
				(k + 1.0) / values->len);
		/* Two empty lines separate data sets for gnuplot. */
		fprintf(out, "\n\n");
	}
}

static void write_script(FILE *out, load_report_t *const *reports, size_t count,
			 const char *prefix)
{
	fprintf(out,
		"set terminal png size 1200,900\nset output '%s.png'\n"
		"set multiplot layout 2,1\nset key outside\n"
		"set xlabel 'urgent time to first token, ms'\nset logscale x\n"
		"set ylabel 'share of requests'\nplot ",
		prefix);
	for (size_t i = 0; i < count; i++)
		fprintf(out, "%s'%s.ttft' index %zu with lines title '%s'",
			i ? ", " : "", prefix, i, reports[i]->name);
	fprintf(out, "\nunset logscale x\nset xlabel 'second'\n"
		     "set ylabel 'prefix hit rate'\nset yrange [0:1]\nplot ");
	for (size_t i = 0; i < count; i++)
		fprintf(out, "%s'%s.hits' using 1:%zu with lines title '%s'",
			i ? ", " : "", prefix, i + 2, reports[i]->name);
	fprintf(out, "\nunset multiplot\n");
}

static FILE *open_plot_file(const char *prefix, const char *suffix)
{
	char path[LOAD_PATH_MAX_BYTES];

	snprintf(path, sizeof(path), "%s.%s", prefix, suffix);
	return fopen(path, "w");
}

int load_report_plot(load_report_t *const *reports, size_t count,
		     const char *prefix)
{
	FILE *series = open_plot_file(prefix, "hits");
	FILE *distribution = open_plot_file(prefix, "ttft");
	FILE *script = open_plot_file(prefix, "gnuplot");
	int err = series && distribution && script ? 0 : ERR_INTERNAL;

	if (!err) {
		write_series(series, reports, count);
		write_distribution(distribution, reports, count);
		write_script(script, reports, count, prefix);
	}
	if (series)
		fclose(series);
	if (distribution)
		fclose(distribution);
	if (script)
		fclose(script);
	return err;
}
