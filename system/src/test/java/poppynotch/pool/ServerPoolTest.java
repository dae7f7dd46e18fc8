package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import poppynotch.config.Backend;
import poppynotch.wire.Message;
import poppynotch.wire.PromptSegment;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

/**
 * Guards against uneven load: edges that prefer the same servers, use failing or full ones, or miss
 * prefix caches and idle connections.
 */
class ServerPoolTest {

    private static final Backend NO_MODEL = new Backend("s", 96, 0, 0);
    private static final Backend MODEL = new Backend("m", 360, 64, 100_000);

    private static ServerPool pool(
            Backend backend, int edgeCount, int edgeNumber, int serverCount, int slots) {
        ServerPool pool = new ServerPool(backend, "z");
        pool.setPosition(edgeCount, edgeNumber, 1);
        List<ServerRecord> ready = new ArrayList<>();
        for (int i = 0; i < serverCount; i++) {
            ready.add(
                    new ServerRecord(
                            "server-" + i,
                            backend.name(),
                            "10.0.0." + i + ":80",
                            "z",
                            slots,
                            ServerState.READY,
                            1));
        }
        pool.setServers(ready);
        return pool;
    }

    private static Slot acquire(ServerPool pool, RequestProfile request) {
        return ((AcquireResult.Granted) pool.acquire(0, request, Set.of())).slot();
    }

    private static RequestProfile prompt(long sharedPart, long ownPart) {
        return new RequestProfile(
                List.of(new PromptSegment(sharedPart, 13_000), new PromptSegment(ownPart, 3000)),
                16_000,
                100);
    }

    @Test
    void edgesPreferDifferentServers() {
        Set<String> preferred = new HashSet<>();
        for (int edgeNumber = 0; edgeNumber < 8; edgeNumber++) {
            preferred.add(
                    acquire(pool(NO_MODEL, 8, edgeNumber, 8, 4), RequestProfile.NO_PROMPT)
                            .serverId());
        }
        assertThat(preferred.size()).isAtLeast(4);
    }

    @Test
    void acquiresLowestRankedFreeSlotAndRejectsWhenFull() {
        ServerPool pool = pool(NO_MODEL, 2, 0, 2, 4);
        List<Slot> acquired = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            acquired.add(acquire(pool, RequestProfile.NO_PROMPT));
        }
        assertThat(acquired.stream().filter(slot -> slot.number() == 0).count()).isEqualTo(2);
        assertThat(pool.acquire(0, RequestProfile.NO_PROMPT, Set.of()))
                .isInstanceOf(AcquireResult.Full.class);
        pool.release(0, acquired.get(3), SlotOutcome.SERVED);
        Slot again = acquire(pool, RequestProfile.NO_PROMPT);
        assertThat(again.serverId()).isEqualTo(acquired.get(3).serverId());
        assertThat(again.number()).isEqualTo(acquired.get(3).number());
    }

    @Test
    void ejectsUnreachableServerThenPermitsOneRequestUntilItAnswers() {
        ServerPool pool = pool(NO_MODEL, 1, 0, 2, 4);
        Slot failed = acquire(pool, RequestProfile.NO_PROMPT);
        pool.release(0, failed, SlotOutcome.UNREACHABLE);
        assertThat(acquire(pool, RequestProfile.NO_PROMPT).serverId())
                .isNotEqualTo(failed.serverId());
        AcquireResult whileEjected =
                pool.acquire(100, RequestProfile.NO_PROMPT, Set.of(otherThan(failed)));
        assertThat(whileEjected).isInstanceOf(AcquireResult.Full.class);
        AcquireResult afterEjection =
                pool.acquire(400, RequestProfile.NO_PROMPT, Set.of(otherThan(failed)));
        assertThat(afterEjection).isInstanceOf(AcquireResult.Granted.class);
        // On probation, the server gets one request at a time until it has answered.
        assertThat(pool.acquire(400, RequestProfile.NO_PROMPT, Set.of(otherThan(failed))))
                .isInstanceOf(AcquireResult.Full.class);
        pool.release(420, ((AcquireResult.Granted) afterEjection).slot(), SlotOutcome.SERVED);
        acquire(pool, RequestProfile.NO_PROMPT);
        assertThat(pool.acquire(430, RequestProfile.NO_PROMPT, Set.of(otherThan(failed))))
                .isInstanceOf(AcquireResult.Granted.class);
    }

    @Test
    void firstFailureQuarantinesSlotAndSecondEjectsServer() {
        ServerPool pool = pool(NO_MODEL, 1, 0, 1, 4);
        Slot failed = acquire(pool, RequestProfile.NO_PROMPT);
        pool.release(0, failed, SlotOutcome.INVALID_RESPONSE);
        Slot next = acquire(pool, RequestProfile.NO_PROMPT);
        assertThat(next.number()).isEqualTo(1);
        pool.release(0, next, SlotOutcome.INVALID_RESPONSE);
        assertThat(pool.acquire(10, RequestProfile.NO_PROMPT, Set.of()))
                .isInstanceOf(AcquireResult.Full.class);
    }

    @Test
    void ranksServerWithHighFailureRateAfterOthers() {
        ServerPool pool = pool(NO_MODEL, 1, 0, 2, 4);
        String failing = acquire(pool, RequestProfile.NO_PROMPT).serverId();
        int sentToFailing = 0;
        for (int i = 0; i < 40; i++) {
            Slot slot = acquire(pool, RequestProfile.NO_PROMPT);
            boolean fails = slot.serverId().equals(failing);
            sentToFailing += fails ? 1 : 0;
            pool.release(i, slot, fails ? SlotOutcome.ERROR_RESPONSE : SlotOutcome.SERVED);
        }
        assertThat(sentToFailing).isAtMost(4);
    }

    @Test
    void assumesPromptSentByAnotherEdgeIsCached() {
        ServerPool pool = pool(MODEL, 6, 0, 5, 64);
        pool.onPromptSentElsewhere(
                0, new Message.PromptSent("server-3", "m", 0, prompt(7, 1).promptParts()));
        pool.onPromptSentElsewhere(
                0, new Message.PromptSent("server-9", "m", 0, prompt(7, 1).promptParts()));
        Slot slot = acquire(pool, prompt(7, 2));
        assertThat(slot.serverId()).isEqualTo("server-3");
        assertThat(slot.uncachedTokens()).isEqualTo(3000);
    }

    private static String otherThan(Slot slot) {
        return slot.serverId().equals("server-0") ? "server-1" : "server-0";
    }

    @Test
    void edgesSendPromptsWithSharedPartToTheSameServer() {
        for (long sharedPart = 1; sharedPart < 20; sharedPart++) {
            Set<String> homes = new HashSet<>();
            for (int edgeNumber = 0; edgeNumber < 6; edgeNumber++) {
                homes.add(
                        acquire(
                                        pool(MODEL, 6, edgeNumber, 5, 64),
                                        prompt(sharedPart, 1000 + edgeNumber))
                                .serverId());
            }
            assertThat(homes).hasSize(1);
        }
    }

    @Test
    void usesOtherServersWhenHomeServerHasLargeBacklog() {
        ServerPool pool = pool(MODEL, 6, 0, 5, 64);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            used.add(acquire(pool, prompt(7, 1000 + i)).serverId());
        }
        assertThat(used.size()).isAtLeast(2);
    }

    @Test
    void acquiresNothingWhenAllServersAreDraining() {
        ServerPool pool = pool(NO_MODEL, 1, 0, 2, 4);
        pool.setServers(List.of());
        assertThat(pool.acquire(0, RequestProfile.NO_PROMPT, Set.of()))
                .isInstanceOf(AcquireResult.NoServer.class);
    }

    @Test
    void secondReleaseOfSlotHasNoEffect() {
        ServerPool pool = pool(NO_MODEL, 1, 0, 1, 4);
        Slot first = acquire(pool, RequestProfile.NO_PROMPT);
        pool.release(0, first, SlotOutcome.SERVED);
        Slot second = acquire(pool, RequestProfile.NO_PROMPT);
        pool.release(0, first, SlotOutcome.SERVED);
        assertThat(second.number()).isEqualTo(0);
        assertThat(acquire(pool, RequestProfile.NO_PROMPT).number()).isEqualTo(1);
    }

    private static String sentTo(ServerPool pool, RequestProfile request, String connected) {
        AcquireResult acquired = pool.acquire(0, request, Set.of(), connected::equals);
        return ((AcquireResult.Granted) acquired).slot().serverId();
    }

    @Test
    void prefersIdleConnectionBetweenEqualModelServers() {
        RequestProfile small = new RequestProfile(List.of(new PromptSegment(1, 100)), 100, 10);
        for (int i = 0; i < 5; i++) {
            String connected = "server-" + i;
            assertThat(sentTo(pool(MODEL, 6, 0, 5, 64), small, connected)).isEqualTo(connected);
        }
    }

    /** Prefilling the shared tokens again costs more than opening a connection. */
    @Test
    void prefersCachedPromptToIdleConnection() {
        ServerPool pool = pool(MODEL, 6, 0, 5, 64);
        pool.onPromptSentElsewhere(
                0, new Message.PromptSent("server-3", "m", 0, prompt(7, 1).promptParts()));
        assertThat(sentTo(pool, prompt(7, 2), "server-1")).isEqualTo("server-3");
    }

    @Test
    void prefersIdleConnectionForRequestWithoutPromptWithinOneRound() {
        ServerPool pool = pool(NO_MODEL, 1, 0, 2, 4);
        assertThat(sentTo(pool, RequestProfile.NO_PROMPT, "server-0")).isEqualTo("server-0");
        assertThat(sentTo(pool, RequestProfile.NO_PROMPT, "server-1")).isEqualTo("server-1");
    }
}
