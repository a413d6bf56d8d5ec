#include <neon/ne_socket.h>
#include <sodium.h>
#include <stdio.h>

#include "config/cmdline.h"
#include "config/logging.h"
#include "entry/app.h"
#include "net/signals.h"

#define ABOUT "Entry process of mangohead: accepts and schedules requests."

int main(int argc, char **argv)
{
	struct mh_entry_settings settings;
	struct mh_config_report rep = { 0 };
	struct mh_cmdline cmd;
	struct mh_entry_app *app;
	int code;

	mh_signals_block();
	if (!mh_cmdline_parse(argc, argv, ABOUT, NULL, &cmd, &code))
		return code;
	if (sodium_init() < 0 || ne_sock_init())
		return MH_EXIT_FAILED;
	if (!mh_entry_settings_read(cmd.config, &settings, &rep)) {
		fputs(rep.text, stderr);
		code = MH_EXIT_CONFIG;
		goto out;
	}
	if (cmd.check) {
		printf("%s: valid\n", cmd.config);
		goto out;
	}
	mh_log_init(settings.log_level);
	app = mh_entry_app_new(&settings);
	if (!app) {
		code = MH_EXIT_FAILED;
		goto out_log;
	}
	mh_entry_app_run(app);
	mh_entry_app_free(app);
out_log:
	mh_log_finish();
	mh_config_report_clear(&rep);
	return code;
out:
	mh_entry_settings_release(&settings);
	mh_config_report_clear(&rep);
	return code;
}
