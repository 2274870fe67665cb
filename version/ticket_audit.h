/**
 * @file
 * Records ticket decisions in the audit trail, the log and the metrics.
 */
#ifndef VERSION_TICKET_AUDIT_H
#define VERSION_TICKET_AUDIT_H

#include <stdint.h>

#include "process/audit.h"
#include "version/ticket_commit.h"

/**
 * Records one decision.
 * @param audit audit trail, or NULL for log and metrics only
 * @param operator_name operator who submitted the ticket
 * @param position_before configuration position before the decision
 */
void ticket_audit_result(audit_t *audit, const char *operator_name,
			 const ticket_result_t *result,
			 uint64_t position_before);

#endif
