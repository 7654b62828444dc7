"""Behave steps for settings, run against real processes."""

import io
import itertools
import json
import signal
import sys
import urllib.error

import behave
from features.support import settings_cluster

from cowsliprill import errors
from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill.cli import commands
from cowsliprill.cli import runner
from cowsliprill.settings import parts
from cowsliprill.settings import publish

_IN_FORCE_PATTERN = r"event=settings_in_force revision=(\d+)"


def _start(context, platforms: int, vms: int) -> None:
    context.cluster = settings_cluster.Cluster()
    context.add_cleanup(context.cluster.stop)
    context.cluster.start_platforms(platforms)
    for number in range(vms):
        context.cluster.start_vm(number % platforms)
    context.cluster.publish_vm_list()
    for vm in context.cluster.vms:
        vm.wait_for(r"event=settings_in_force revision=1 ")
        settings_cluster.wait_until(
            lambda vm=vm: _status(vm)["vms"] == vms, "the VM list is complete"
        )


def _status(vm: settings_cluster.Child) -> dict:
    return settings_cluster.call("GET", vm.url + peers.STATUS_PATH)


@behave.given("a platform and {vms:d} VMs with revision 1 in force")
def step_one_platform(context, vms) -> None:
    _start(context, 1, vms)


@behave.given(
    "{platforms:d} platforms and {vms:d} VMs with revision 1 in force"
)
def step_platforms(context, platforms, vms) -> None:
    _start(context, platforms, vms)


@behave.when("each platform aborts {fail:d} of {of:d} calls")
def step_flap(context, fail, of) -> None:
    for number in range(len(context.cluster.platforms)):
        context.cluster.set_mode(number, mode="flap", fail=fail, of=of)


@behave.when("each platform responds after {delay_s:d} second")
def step_slow(context, delay_s) -> None:
    for number in range(len(context.cluster.platforms)):
        context.cluster.set_mode(number, mode="slow", delay_s=delay_s)


@behave.when("each platform is down")
def step_down(context) -> None:
    for number in range(len(context.cluster.platforms)):
        context.cluster.set_mode(number, mode="down")


@behave.when("platform {number:d} becomes stale")
def step_stale(context, number) -> None:
    context.cluster.set_mode(number, mode="stale", only="values")


@behave.when("platform {number:d} accepts calls but never responds")
def step_hang(context, number) -> None:
    context.cluster.set_mode(number, mode="down", how="hang")


@behave.when("platform {number:d} works again")
def step_up(context, number) -> None:
    context.cluster.set_mode(number, mode="up")


@behave.when("revision {revision:d} is published")
def step_publish(context, revision) -> None:
    context.cluster.publish(
        settings_cluster.document(revision, priority=10 + revision)
    )


@behave.given("revision {revision:d} is published and in force")
def step_publish_and_wait(context, revision) -> None:
    step_publish(context, revision)
    step_in_force(context, revision)


@behave.when("revision {revision:d} is in force on the VMs started so far")
@behave.then("revision {revision:d} comes into force on every VM")
def step_in_force(context, revision) -> None:
    for vm in context.cluster.vms:
        vm.wait_for(rf"event=settings_in_force revision={revision} ")


@behave.then("revision {revision:d} is still in force on every VM")
def step_unchanged(context, revision) -> None:
    for vm in context.cluster.vms:
        assert _status(vm)["revision"] == revision


@behave.then("the revision in force never decreased on any VM")
def step_never_decreased(context) -> None:
    for vm in context.cluster.vms:
        revisions = [
            int(each) for each in vm.captured_groups(_IN_FORCE_PATTERN)
        ]
        assert revisions
        for older, newer in itertools.pairwise(revisions):
            assert older < newer, revisions


@behave.then(
    "the VM at platform {number:d} reports that the platform offers an older "
    "revision"
)
def step_reports_older(context, number) -> None:
    vm = context.cluster.vms[number]
    vm.wait_for("event=platform_trouble code=settings_older")


@behave.when("a VM starts")
def step_vm_starts(context) -> None:
    step_vm_starts_at(context, 0)


@behave.when("a VM starts at platform {number:d}")
def step_vm_starts_at(context, number) -> None:
    cluster = context.cluster
    cluster.start_vm(number, [vm.url for vm in cluster.vms])


@behave.then("the new VM is ready and knows {vms:d} VMs")
def step_ready(context, vms) -> None:
    vm = context.cluster.vms[-1]
    settings_cluster.wait_until(
        lambda: not _status(vm)["unready_reason"], "the new VM is ready"
    )
    assert _status(vm)["vms"] == vms


@behave.then("the new VM first serves revision {revision:d} to local processes")
def step_first_served(context, revision) -> None:
    url = context.cluster.vms[-1].url
    head = settings_cluster.call(
        "GET", f"{url}{peers.SETTINGS_PATH}?have=0&wait_s=20"
    )
    assert head["revision"] == revision, head


def _put_raw(context, name: str, content: bytes, revision: int) -> None:
    platform = context.cluster.platforms[0]
    settings_cluster.call(
        "PUT",
        f"{platform.url}/standin/values/{name}?revision={revision}",
        content,
    )


def _publish_texts(
    context, texts: dict[str, str], **wrong_texts_by_hash: str
) -> None:
    """Publishes revision 2 from its parts, some with mismatched content.

    Args:
      context: The context of the scenario.
      texts: Texts of the parts by name.
      **wrong_texts_by_hash: Texts stored in place of the part of that hash.
    """
    hashes = {name: parts.content_hash(text) for name, text in texts.items()}
    index = parts.encode_index(hashes)
    for text in [*texts.values(), index]:
        text_hash = parts.content_hash(text)
        content = wrong_texts_by_hash.get(text_hash, text).encode()
        _put_raw(context, parts.PART_PREFIX + text_hash, content, 2)
    head = parts.Head(
        revision=2, index=parts.content_hash(index), published_by="ann"
    )
    _put_raw(context, parts.HEAD_NAME, parts.encode_head(head).encode(), 2)


def _part_texts(priority: int) -> dict[str, str]:
    tree = settings_cluster.document(2, priority)
    return publish.split(json.dumps(tree))


def _put_truncated_head(context) -> None:
    head = parts.Head(revision=2, index="ab" * 16, published_by="ann")
    text = parts.encode_head(head)
    _put_raw(context, parts.HEAD_NAME, text[: len(text) // 2].encode(), 2)


def _put_invalid_json(context) -> None:
    _put_raw(context, parts.HEAD_NAME, b"\xff\xfe\x00", 2)


def _put_oversized_head(context) -> None:
    _put_raw(context, parts.HEAD_NAME, b" " * 5_000_000, 2)


def _publish_invalid_tree(context) -> None:
    texts = _part_texts(12)
    texts["root"] = '{"service_default":{}}'
    _publish_texts(context, texts)


def _publish_oversized_part(context) -> None:
    texts = _part_texts(12)
    texts["root"] = "{" + " " * 1_000_001 + "}"
    _publish_texts(context, texts)


def _publish_mismatched_part(context) -> None:
    texts = _part_texts(13)
    old_texts = publish.split(json.dumps(settings_cluster.document(1)))
    text_hash = parts.content_hash(texts["user/umurongo"])
    _publish_texts(context, texts, **{text_hash: old_texts["user/umurongo"]})


_WRITERS_BY_INVALID_VALUE = {
    "half a head": _put_truncated_head,
    "bytes that are not JSON": _put_invalid_json,
    "a head above a megabyte": _put_oversized_head,
    "an invalid tree": _publish_invalid_tree,
    "a part above a megabyte": _publish_oversized_part,
    "a part of another revision": _publish_mismatched_part,
}


@behave.then("the VMs stay at revision 1 and log the reason for each value")
def step_invalid_values(context) -> None:
    for row in context.table:
        for vm in context.cluster.vms:
            vm.skip_current_lines()
        _WRITERS_BY_INVALID_VALUE[row["value"]](context)
        for vm in context.cluster.vms:
            vm.wait_for(rf"(event|code)={row['logged']}\b")
            assert _status(vm)["revision"] == 1


@behave.when("the platform is repaired and holds revision {revision:d}")
def step_repaired(context, revision) -> None:
    step_publish(context, revision)


@behave.when(
    "operators publish different revisions {revision:d} on platforms {first:d} "
    "and {second:d}"
)
def step_two_operators(context, revision, first, second) -> None:
    for number, priority, name in ((first, 20, "ann"), (second, 30, "bob")):
        tree = settings_cluster.document(revision, priority, name)
        context.cluster.publish(tree, number)


@behave.when("another operator publishes his revision {revision:d}")
def step_another_operator(context, revision) -> None:
    context.cluster.publish(settings_cluster.document(revision, 40, "bob"))


@behave.then("every VM reports the conflict")
def step_conflict_reported(context) -> None:
    for vm in context.cluster.vms:
        vm.wait_for("event=settings_conflict revision=2 .*published_by=bob")


@behave.then("the audit command shows who published revision {revision:d}")
def step_audit_command(context, revision) -> None:
    stdout = io.StringIO()
    terminal = runner.Terminal(io.StringIO(), stdout, sys.stderr)
    command = commands.AuditCommand(context.cluster.vms[0].url)
    assert runner.run(command, terminal) == errors.ExitCode.OK
    lines = stdout.getvalue().splitlines()
    expected = f"audit=settings_in_force vm=vm0 revision={revision} "
    matching_lines = [line for line in lines if expected in line]
    assert any("published_by=ann" in line for line in matching_lines), lines


@behave.then("one of the two revisions {revision:d} is in force on every VM")
def step_one_of_two(context, revision) -> None:
    def has_converged() -> bool:
        states = [_status(vm) for vm in context.cluster.vms]
        indexes = {state["index"] for state in states}
        revisions = {state["revision"] for state in states}
        return len(indexes) == 1 and revisions == {revision}

    settings_cluster.wait_until(
        has_converged, "every VM has the same index and revision"
    )


@behave.then("the audit trail of a VM contains the conflict")
def step_conflict_audited(context) -> None:
    entries = [
        entry
        for vm in context.cluster.vms
        for entry in settings_cluster.call("GET", vm.url + peers.AUDIT_PATH)
    ]
    assert any(each["audit"] == "settings_conflict" for each in entries)


@behave.when("the VM list of each half contains only that half")
def step_split(context) -> None:
    cluster = context.cluster
    cluster.publish_split_vm_lists()
    for vm in cluster.vms:
        settings_cluster.wait_until(
            lambda vm=vm: _status(vm)["vms"] == len(cluster.vms) // 2,
            "the VM list contains half of the VMs",
        )


@behave.when("revision {revision:d} is published on platform {number:d} only")
def step_publish_on(context, revision, number) -> None:
    tree = settings_cluster.document(revision, priority=50)
    context.cluster.publish(tree, number)


@behave.when("all VMs are in every VM list again")
def step_merge_lists(context) -> None:
    # Merging the lists tests something only once the halves differ.
    for vm in context.cluster.vms[1::2]:
        vm.wait_for("event=settings_in_force revision=2 ")
        assert _status(vm)["revision"] == 2
    context.cluster.publish_vm_list()


@behave.given(
    "an entry process on VM {number:d} follows the settings, at revision "
    "{revision:d}"
)
def step_follow(context, number, revision) -> None:
    context.cluster.start_follower(number)
    follower = context.cluster.followers[-1]
    follower.wait_for(f"event=settings_followed revision={revision}$")


@behave.when("the platform reverts to revision 1")
def step_revert(context) -> None:
    context.cluster.set_mode(0, mode="stale", back=1, only="values")


@behave.when("the settings process of VM {number:d} is replaced")
def step_replace(context, number) -> None:
    context.cluster.replace_settings_process(number)


@behave.then("the entry process is offered revision 1 and rejects it")
def step_older_rejected(context) -> None:
    context.cluster.vms[0].wait_for("event=settings_in_force revision=1 ")
    follower = context.cluster.followers[-1]
    follower.wait_for("event=settings_offered_older revision=1 in_force=2")
    assert not follower.captured_groups("event=settings_followed (revision=1)")


@behave.when("the platform works again with revision {revision:d}")
def step_recover(context, revision) -> None:
    context.cluster.set_mode(0, mode="up")
    step_publish(context, revision)


@behave.then(
    "the entry process applies revision {newer:d} after revision {older:d}"
)
def step_applies_newer(context, newer, older) -> None:
    follower = context.cluster.followers[-1]
    follower.wait_for(f"event=settings_followed revision={newer}$")
    followed = follower.captured_groups(
        r"event=settings_followed revision=(\d+)"
    )
    assert followed == [str(older), str(newer)], followed


@behave.when("the VM list marks {vm} as leaving")
def step_list_leaving(context, vm) -> None:
    context.cluster.publish_vm_list(vm)


@behave.when("VM {number:d} is paused")
def step_pause(context, number) -> None:
    context.cluster.vms[number].send_signal(signal.SIGSTOP)


@behave.when("VM {number:d} resumes")
def step_resume(context, number) -> None:
    for vm in context.cluster.vms[:number]:
        vm.wait_for("event=settings_in_force revision=3 ")
    context.cluster.vms[number].send_signal(signal.SIGCONT)


@behave.when(
    "a process on VM {number:d} reports that {endpoint} is leaving for "
    "{ttl_s:d} seconds"
)
def step_report(context, number, endpoint, ttl_s) -> None:
    cluster = context.cluster
    body = json.dumps({"endpoint_id": endpoint, "ttl_s": ttl_s}).encode()
    auth = peer_auth.PeerAuth(cluster.secret)
    settings_cluster.call(
        "POST",
        cluster.vms[number].url + peers.LEAVING_PATH,
        body,
        **auth.headers(body),
    )


@behave.then("every VM reports that {endpoint} is leaving")
def step_leaving(context, endpoint) -> None:
    for vm in context.cluster.vms:
        settings_cluster.wait_until(
            lambda vm=vm: endpoint in _status(vm)["leaving_endpoints"],
            f"{endpoint} is leaving",
        )


@behave.then("every VM uses {endpoint} again later")
def step_no_longer_leaving(context, endpoint) -> None:
    for vm in context.cluster.vms:
        settings_cluster.wait_until(
            lambda vm=vm: endpoint not in _status(vm)["leaving_endpoints"],
            f"{endpoint} is no longer leaving",
        )


@behave.when("an unauthenticated peer announces revision {revision:d}")
def step_unauthenticated_peer(context, revision) -> None:
    message = {"url": "http://127.0.0.1:9", "revision": revision, "index": "ff"}
    try:
        settings_cluster.call(
            "POST", context.cluster.vms[0].url + peers.EXCHANGE_PATH, message
        )
        context.error_status = 0
    except urllib.error.HTTPError as error:
        context.error_status = error.code


@behave.then("the VM rejects the unauthenticated peer")
def step_rejected(context) -> None:
    assert context.error_status == 403
    assert not context.cluster.vms[0].captured_groups("(127.0.0.1:9)/")
