#include <sodium.h>
#include <stdio.h>

#include "config/cmdline.h"
#include "dispatcher/app.h"
#include "net/signals.h"
#include "platform/boot.h"

#define ABOUT                                                                  \
	"Assigns the slots of backend servers to requests of all entry hosts."

int main(int argc, char **argv)
{
	struct mh_dispatcher_settings settings;
	struct mh_config_report rep = { 0 };
	struct mh_cmdline cmd;
	struct mh_dispatcher_app *app;
	int code;

	mh_signals_block();
	if (!mh_cmdline_parse(argc, argv, ABOUT, mh_boot_settings_path(), &cmd,
			      &code))
		return code;
	if (sodium_init() < 0)
		return MH_EXIT_FAILED;
	if (!mh_dispatcher_settings_read(cmd.config, &settings, &rep)) {
		fputs(rep.text, stderr);
		code = MH_EXIT_CONFIG;
		goto out;
	}
	if (cmd.check) {
		printf("%s: valid\n", cmd.config);
		goto out;
	}
	app = mh_dispatcher_app_new(cmd.config, &settings);
	if (!app)
		return MH_EXIT_FAILED;
	mh_dispatcher_app_run(app);
	mh_dispatcher_app_free(app);
	return code;
out:
	mh_dispatcher_settings_release(&settings);
	mh_config_report_clear(&rep);
	return code;
}
