"""Help texts of command lines, and validation of arguments before a command runs."""

import inspect

__all__ = [
    "command_help",
    "has_further_flags",
    "overview",
    "find_problem",
    "public_commands",
    "split_arguments",
]


def split_arguments(commands, arguments):
    """Return the command in a list of arguments, its positional arguments and flags.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    arguments : list of str
        Arguments without the name of the binary.

    Returns
    -------
    command : str or None
        First positional argument; None without one.
    positional : list of str
        Positional arguments after the command.
    flags : list of str
        Names of the flags, with dashes replaced by underscores.
    """
    switches = _switches(commands)
    positional = []
    flags = []
    takes_value = False
    for argument in arguments:
        is_flag = argument.startswith("-") and not _is_number(argument)
        if takes_value and not is_flag:
            takes_value = False
        elif is_flag:
            name, equals, _ = argument.lstrip("-").partition("=")
            flags.append(name.replace("-", "_"))
            takes_value = not equals and flags[-1] not in switches
        else:
            positional.append(argument)
    return (positional[0] if positional else None), positional[1:], flags


def has_further_flags(*targets, find=tuple):
    """Return a decorator that adds the flags of other functions to a command.

    Parameters
    ----------
    *targets : type or callable
        Classes or functions whose parameters with a default become flags of the
        command.
    find : callable, optional
        Returns further targets; called only when the flags are needed, so that it can
        import them lazily.

    Examples
    --------
    >>> def plan(*, ranks=3): ...
    >>> @has_further_flags(plan)
    ... def explore(self, **bounds): ...
    >>> [parameter.name for parameter in _flags_of(explore)]
    ['ranks']
    """

    def set_targets(function):
        function.further_flags = lambda: [*targets, *find()]
        return function

    return set_targets


def find_problem(commands, arguments):
    """Return a message on the first invalid argument, or an empty string.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    arguments : list of str
        Arguments without the name of the binary.

    Notes
    -----
    Fire detects a surplus argument only after it has run the command, which is too
    late if the command has changed anything.

    Examples
    --------
    >>> class Example:
    ...     def stop(self, name, *, force=False): ...
    >>> find_problem(Example, ["stop", "a", "--forse"])
    'stop: unknown flag --forse; known: --name, --force'
    >>> find_problem(Example, ["stop", "a", "--force"])
    ''
    """
    command, positional, flags = split_arguments(commands, arguments)
    by_name = public_commands(commands)
    if command is None:
        return f"a command is required; known: {', '.join(by_name)}"
    if command not in by_name:
        return f"unknown command {command!r}; known: {', '.join(by_name)}"
    parameters = inspect.signature(by_name[command]).parameters
    known = [p.name for p in [*_options(commands), *_flags_of(by_name[command])]]
    for flag in flags:
        if flag not in known:
            known_flags = ", ".join(_flag_name(name) for name in known)
            return f"{command}: unknown flag {_flag_name(flag)}; known: {known_flags}"
    accepted = [
        p
        for p in _without_self(parameters)
        if p.kind not in (p.KEYWORD_ONLY, p.VAR_KEYWORD)
    ]
    is_variadic = any(p.kind is p.VAR_POSITIONAL for p in accepted)
    if len(positional) > len(accepted) and not is_variadic:
        return f"{command}: unexpected argument {positional[len(accepted)]!r}"
    required = [p for p in accepted if p.default is p.empty]
    required = [p for p in required if p.kind is not p.VAR_POSITIONAL]
    missing = [p for p in required[len(positional) :] if p.name not in flags]
    if missing:
        return f"{command}: argument {missing[0].name.upper()} is required"
    return ""


def overview(commands, *, name):
    """Return the help text of a binary, with a summary of each command.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    name : str
        Name of the binary.
    """
    by_name = public_commands(commands)
    width = max(map(len, by_name))
    rows = [f"  {n:<{width}}  {_summary(f)}" for n, f in by_name.items()]
    lines = [_summary(commands), "", f"usage: {name} COMMAND [ARGUMENTS]", ""]
    lines += ["commands:", *rows]
    if _options(commands):
        lines += ["", "flags of every command:", *_flag_rows(commands)]
    lines += [
        "",
        f"{name} COMMAND --help for details; {name} --version for the version.",
    ]
    return "\n".join(lines)


def command_help(commands, *, name, command):
    """Return the help text of one command.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    name : str
        Name of the binary.
    command : str
        Name of the command.
    """
    function = public_commands(commands)[command]
    words = [_usage_word(p) for p in _flags_of(function)]
    lines = [f"usage: {' '.join([name, command, *words])}", ""]
    lines += inspect.getdoc(function).splitlines()
    if _options(commands):
        lines += ["", "flags of every command:", *_flag_rows(commands)]
    return "\n".join(lines)


def public_commands(commands):
    """Return the commands of a class by name.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    """
    members = inspect.getmembers(commands, inspect.isfunction)
    return {name: f for name, f in members if not name.startswith("_")}


def _options(commands):
    if commands.__init__ is object.__init__:
        return []
    return _without_self(inspect.signature(commands.__init__).parameters)


def _without_self(parameters):
    return [p for name, p in parameters.items() if name != "self"]


def _flags_of(function):
    """Return the parameters of a command, including those of its further targets."""
    parameters = _without_self(inspect.signature(function).parameters)
    flags = [p for p in parameters if p.kind is not p.VAR_KEYWORD]
    names = {parameter.name for parameter in flags}
    for target in getattr(function, "further_flags", tuple)():
        for parameter in inspect.signature(target).parameters.values():
            has_default = parameter.default is not parameter.empty
            if has_default and parameter.name not in names:
                names.add(parameter.name)
                flags.append(parameter)
    return flags


def _switches(commands):
    functions = [commands.__init__, *public_commands(commands).values()]
    switches = {"help", "h"}
    for function in functions:
        for parameter in _flags_of(function):
            if isinstance(parameter.default, bool):
                switches.add(parameter.name)
    return switches


def _flag_rows(commands):
    rows = []
    for parameter in _options(commands):
        usage_word = _flag_name(parameter.name)
        if not isinstance(parameter.default, bool):
            usage_word += f"={parameter.name.upper()}"
        rows.append(f"  {usage_word}  {_parameter_doc(commands, parameter.name)}")
    return rows


def _parameter_doc(commands, parameter):
    lines = inspect.getdoc(commands).splitlines()
    for i, line in enumerate(lines):
        if line.partition(" : ")[0] == parameter:
            return lines[i + 1].strip()
    return ""


def _usage_word(parameter):
    name = parameter.name.upper()
    if parameter.kind is parameter.VAR_POSITIONAL:
        return f"[{name} ...]"
    if parameter.default is parameter.empty:
        return name
    if isinstance(parameter.default, bool):
        return f"[{_flag_name(parameter.name)}]"
    default = "" if repr(parameter.default).startswith("<") else parameter.default
    return f"[{_flag_name(parameter.name)}={default}]"


def _flag_name(name):
    return "--" + name.replace("_", "-")


def _summary(documented):
    return inspect.getdoc(documented).partition("\n")[0]


def _is_number(text):
    try:
        float(text)
    except ValueError:
        return False
    return True
