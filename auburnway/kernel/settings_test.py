import dataclasses

from auburnway.kernel import settings


@dataclasses.dataclass(frozen=True)
class Peer:
    address: str = settings.setting("address")


@dataclasses.dataclass(frozen=True)
class Example:
    name: str = settings.setting("name")
    port: int = settings.setting("port", 80, low=1, high=65535)
    mode: str = settings.setting("mode", "a", choices=("a", "b"))
    peers: tuple[Peer, ...] = settings.setting("peers", ())


def test_all_errors_are_reported_at_once(tmp_path):
    # Guards against reporting only the first error, which would cost the
    # operator one restart per error.
    path = tmp_path / "s.toml"
    path.write_text('port = 70000\nmode = "c"\nportt = 1\n[[peers]]\n')
    found_errors = settings.load(Example, path).failure()
    locations = sorted(error.source.split(":", 1)[1] for error in found_errors)
    assert locations == ["mode", "name", "peers[0]:address", "port", "portt"]
    assert any("1 to 65535" in error.detail for error in found_errors)
    assert all("docs/SETTINGS.md" in error.message for error in found_errors)


def test_valid_file_is_loaded_as_typed_settings(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text('name = "n"\n[[peers]]\naddress = "127.0.0.1:1"\n')
    value = settings.load(Example, path).unwrap()
    assert value == Example("n", 80, "a", (Peer("127.0.0.1:1"),))


def test_boolean_is_not_an_integer(tmp_path):
    path = tmp_path / "s.toml"
    path.write_text('name = "n"\nport = true\n')
    assert len(settings.load(Example, path).failure()) == 1
