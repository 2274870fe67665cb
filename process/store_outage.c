#include "process/store_outage.h"

store_outage_change_t store_outage_update(store_outage_t *outage,
					  store_contact_t contact)
{
	bool was_active = outage->active;

	if (contact.answers)
		outage->active = false;
	else if (contact.fails)
		outage->active = true;
	if (outage->active == was_active)
		return STORE_OUTAGE_SAME;
	return was_active ? STORE_OUTAGE_ENDED : STORE_OUTAGE_BEGAN;
}
