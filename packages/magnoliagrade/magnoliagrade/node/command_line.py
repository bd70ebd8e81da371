"""Help texts of a command line, and the check of its arguments before it runs."""

import inspect

__all__ = [
    "command_help",
    "has_further_flags",
    "overview",
    "problem_with",
    "public_commands",
    "split_arguments",
]


def split_arguments(commands, arguments):
    """Return the command that is called and its flags and positional arguments.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    arguments : list of str
        Arguments without the name of the binary.

    Returns
    -------
    command : str or None
        First positional argument.
    positional : list of str
        Those after the command.
    flags : list of str
        Names of the flags, dashes within replaced by underscores.
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
    """Return a decorator that names where a command's further flags come from.

    Parameters
    ----------
    *targets : type or callable
        Classes or functions whose parameters with a default are flags of the command
        too.
    find : callable, optional
        Returns more of them, for those that are not imported unless they are needed.

    Examples
    --------
    >>> def plan(*, ranks=3): ...
    >>> @has_further_flags(plan)
    ... def explore(self, **bounds): ...
    >>> [parameter.name for parameter in _flags_of(explore)]
    ['ranks']
    """

    def note_targets(function):
        function.further_flags = lambda: [*targets, *find()]
        return function

    return note_targets


def problem_with(commands, arguments):
    """Return what is wrong with the arguments, or an empty text.

    Parameters
    ----------
    commands : type
        Class whose public methods are the commands.
    arguments : list of str
        Arguments without the name of the binary.

    Notes
    -----
    Fire finds a surplus argument only after it has run the command, which is too
    late where the command changes something.

    Examples
    --------
    >>> class Example:
    ...     def stop(self, name, *, force=False): ...
    >>> problem_with(Example, ["stop", "a", "--forse"])
    'stop: unknown flag --forse; known: --name, --force'
    >>> problem_with(Example, ["stop", "a", "--force"])
    ''
    """
    command, positional, flags = split_arguments(commands, arguments)
    by_name = public_commands(commands)
    if command is None:
        return f"a command is required; known: {', '.join(by_name)}"
    if command not in by_name:
        return f"unknown command {command!r}; known: {', '.join(by_name)}"
    own = inspect.signature(by_name[command]).parameters
    known = [p.name for p in [*_options(commands), *_flags_of(by_name[command])]]
    for flag in flags:
        if flag not in known:
            flags_known = ", ".join(_flag(name) for name in known)
            return f"{command}: unknown flag {_flag(flag)}; known: {flags_known}"
    wanted = [
        p for p in _without_self(own) if p.kind not in (p.KEYWORD_ONLY, p.VAR_KEYWORD)
    ]
    is_open = any(p.kind is p.VAR_POSITIONAL for p in wanted)
    if len(positional) > len(wanted) and not is_open:
        return f"{command}: unexpected argument {positional[len(wanted)]!r}"
    required = [p for p in wanted if p.default is p.empty]
    required = [p for p in required if p.kind is not p.VAR_POSITIONAL]
    missing = [p for p in required[len(positional) :] if p.name not in flags]
    if missing:
        return f"{command}: argument {missing[0].name.upper()} is required"
    return ""


def overview(commands, *, name):
    """Return the help of a whole binary.

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
    lines += ["", f"{name} COMMAND --help tells more; {name} --version the version."]
    return "\n".join(lines)


def command_help(commands, *, name, command):
    """Return the help of one command.

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
    words = [_shown(p) for p in _flags_of(function)]
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
    """Return the parameters that a command takes, those of its targets included."""
    own = _without_self(inspect.signature(function).parameters)
    flags = [p for p in own if p.kind is not p.VAR_KEYWORD]
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
        shown = _flag(parameter.name)
        if not isinstance(parameter.default, bool):
            shown += f"={parameter.name.upper()}"
        rows.append(f"  {shown}  {_doc_of(commands, parameter.name)}")
    return rows


def _doc_of(commands, parameter):
    lines = inspect.getdoc(commands).splitlines()
    for i, line in enumerate(lines):
        if line.partition(" : ")[0] == parameter:
            return lines[i + 1].strip()
    return ""


def _shown(parameter):
    name = parameter.name.upper()
    if parameter.kind is parameter.VAR_POSITIONAL:
        return f"[{name} ...]"
    if parameter.default is parameter.empty:
        return name
    if isinstance(parameter.default, bool):
        return f"[{_flag(parameter.name)}]"
    shown = "" if repr(parameter.default).startswith("<") else parameter.default
    return f"[{_flag(parameter.name)}={shown}]"


def _flag(name):
    return "--" + name.replace("_", "-")


def _summary(thing):
    return inspect.getdoc(thing).partition("\n")[0]


def _is_number(text):
    try:
        float(text)
    except ValueError:
        return False
    return True
