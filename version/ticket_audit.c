#include "version/ticket_audit.h"

#include <inttypes.h>
#include <stdio.h>

#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/metrics.h"

void ticket_audit_result(audit_t *audit, const char *operator_name,
			 const ticket_result_t *result,
			 uint64_t position_before)
{
	char which[32];
	char before_text[24];
	char after_text[24] = "";
	const audit_entry_t entry = {
		.at_unix_ms = clock_unix_ms(),
		.who = operator_name,
		.what = "ticket",
		.which = which,
		.before = before_text,
		.after = after_text,
		.outcome = result->err ? error_type(result->err) : "accepted",
	};

	snprintf(which, sizeof(which), "ticket/%" PRIu64, result->number);
	snprintf(before_text, sizeof(before_text), "%" PRIu64, position_before);
	if (!result->err)
		snprintf(after_text, sizeof(after_text), "%" PRIu64,
			 result->position);
	metrics_add(result->err ? METRIC_TICKETS_REFUSED
				: METRIC_TICKETS_ACCEPTED,
		    1);
	event_log(EVENT_TICKET_DECIDED,
		  "ticket=%" PRIu64 " operator=%s outcome=%s position=%" PRIu64
		  " object=%s field=%s",
		  result->number, operator_name, entry.outcome,
		  result->position, result->problem.object,
		  result->problem.field);
	if (audit)
		audit_add(audit, &entry);
}
