#include <sodium.h>
#include <stdio.h>

#include "config/cmdline.h"
#include "net/signals.h"
#include "platform/boot.h"
#include "proxy/app.h"

#define ABOUT "HTTP entry of mangohead: routes requests to backend servers."

int main(int argc, char **argv)
{
	struct mh_proxy_settings settings;
	struct mh_config_report rep = { 0 };
	struct mh_cmdline cmd;
	struct mh_proxy_app *app;
	int code;

	mh_signals_block();
	if (!mh_cmdline_parse(argc, argv, ABOUT, mh_boot_settings_path(), &cmd,
			      &code))
		return code;
	if (sodium_init() < 0)
		return MH_EXIT_FAILED;
	if (!mh_proxy_settings_read(cmd.config, &settings, &rep)) {
		fputs(rep.text, stderr);
		code = MH_EXIT_CONFIG;
		goto out;
	}
	if (cmd.check) {
		printf("%s: valid\n", cmd.config);
		goto out;
	}
	app = mh_proxy_app_new(cmd.config, &settings);
	if (!app)
		return MH_EXIT_FAILED;
	mh_proxy_app_run(app);
	mh_proxy_app_free(app);
	return code;
out:
	mh_proxy_settings_release(&settings);
	mh_config_report_clear(&rep);
	return code;
}
