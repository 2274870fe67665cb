/**
 * @file
 * Record of ticket decisions: audit trail, log and metrics.
 */
#ifndef VERSION_TICKET_AUDIT_H
#define VERSION_TICKET_AUDIT_H

#include <stdint.h>

#include "process/audit.h"
#include "version/ticket_commit.h"

/**
 * Records one decision.
 * @param audit trail, or NULL for the log and metrics only
 * @param operator_name who sent the ticket
 * @param before position in force before the decision
 */
void ticket_audit_result(audit_t *audit, const char *operator_name,
			 const ticket_result_t *result, uint64_t before);

#endif
