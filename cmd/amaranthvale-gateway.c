/* The gateway program: one instance that runs on the platform. */
#include <signal.h>
#include <stdio.h>

#include "cmd/gateway.h"
#include "process/error.h"
#include "process/event.h"
#include "process/rng.h"
#include "process/settings.h"

static gateway_t gateway;

int main(int argc, char **argv)
{
	gateway_control_t *control;
	int err = gateway_settings_load(&gateway.settings, argc,
					(const char **)argv);

	if (err < 0)
		return 2;
	if (err == SETTINGS_EXIT)
		return 0;
	peer_name_make(gateway.peer_name, gateway.settings.name);
	/* Not 0, and not negative as JSON. */
	gateway.incarnation = (rng_system_seed() >> 1) + 1;
	atomic_store(&gateway.allowances_young, true);
	signal(SIGPIPE, SIG_IGN);
	if (event_open_stdout("amaranthvale-gateway",
			      (event_level_t)gateway.settings.log_level))
		return 1;
	event_log(EVENT_STARTED, "name=%s domain=%s listen=%s store=%s",
		  gateway.settings.name, gateway.settings.domain,
		  gateway.settings.listen, gateway.settings.store);
	atomic_store(&gateway.instances, 1);
	control = gateway_control_start(&gateway);
	if (!control) {
		event_log(EVENT_START_FAILED, "part=control");
		return 1;
	}
	err = gateway_front_run(&gateway);
	gateway_control_stop(control);
	event_log(EVENT_STOPPED, "result=%s", error_type(err));
	return err ? 1 : 0;
}
