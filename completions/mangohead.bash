# Bash completion. Source this file, or install it in bash-completion's
# directory.
_mangohead_daemon() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
	if [ "$prev" = --config ] || [ "$prev" = -c ]; then
		COMPREPLY=($(compgen -f -- "$cur"))
	else
		COMPREPLY=($(compgen -W "--config --check --help --version" \
			-- "$cur"))
	fi
}
_mangoctl() {
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
	case $prev in
	check | publish) COMPREPLY=($(compgen -f -- "$cur")) ;;
	*) COMPREPLY=($(compgen -W "check publish manifest status audit drain
		undrain explain rollouts report --plot --server --token --base --note --delta --json
		--help --version" -- "$cur")) ;;
	esac
}
complete -F _mangohead_daemon mangohead-entry mangohead-side mangohead-proxy \
	mangohead-dispatcher
complete -F _mangoctl mangoctl
