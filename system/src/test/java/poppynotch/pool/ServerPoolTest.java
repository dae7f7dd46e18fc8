package poppynotch.pool;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import poppynotch.config.Backend;
import poppynotch.wire.Message;
import poppynotch.wire.PromptPart;
import poppynotch.wire.ServerRecord;
import poppynotch.wire.ServerState;

class ServerPoolTest {

    private static final Backend PLAIN = new Backend("s", 96, 0, 0);
    private static final Backend MODEL = new Backend("m", 360, 64, 100_000);

    private static ServerPool pool(
            Backend backend, int sidecars, int number, int servers, int slots) {
        ServerPool pool = new ServerPool(backend, "z");
        pool.place(sidecars, number, 1);
        List<ServerRecord> ready = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
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
        pool.update(ready);
        return pool;
    }

    private static Slot take(ServerPool pool, RequestProfile call) {
        return ((AcquireResult.Granted) pool.acquire(0, call, Set.of())).slot();
    }

    private static RequestProfile prompt(long shared, long own) {
        return new RequestProfile(
                List.of(new PromptPart(shared, 13_000), new PromptPart(own, 3000)), 16_000, 100);
    }

    @Test
    void eachSidecarBeginsWithAnotherServerAndAllAreUsed() {
        Set<String> first = new HashSet<>();
        for (int number = 0; number < 8; number++) {
            first.add(take(pool(PLAIN, 8, number, 8, 4), RequestProfile.PLAIN).serverId());
        }
        assertThat(first.size()).isAtLeast(4);
    }

    @Test
    void theLowestRankedFreeSlotTakesTheCallAndAFullPoolRejects() {
        ServerPool pool = pool(PLAIN, 2, 0, 2, 4);
        List<Slot> taken = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            taken.add(take(pool, RequestProfile.PLAIN));
        }
        assertThat(taken.stream().filter(slot -> slot.number() == 0).count()).isEqualTo(2);
        assertThat(pool.acquire(0, RequestProfile.PLAIN, Set.of()))
                .isInstanceOf(AcquireResult.Full.class);
        pool.release(0, taken.get(3), SlotOutcome.SERVED);
        Slot again = take(pool, RequestProfile.PLAIN);
        assertThat(again.serverId()).isEqualTo(taken.get(3).serverId());
        assertThat(again.number()).isEqualTo(taken.get(3).number());
    }

    @Test
    void aSlotThatFailedIsDiscardedForAWhile() {
        ServerPool pool = pool(PLAIN, 1, 0, 2, 4);
        Slot failed = take(pool, RequestProfile.PLAIN);
        pool.release(0, failed, SlotOutcome.UNREACHABLE);
        assertThat(take(pool, RequestProfile.PLAIN).serverId()).isNotEqualTo(failed.serverId());
        AcquireResult none = pool.acquire(100, RequestProfile.PLAIN, Set.of(otherThan(failed)));
        assertThat(none).isInstanceOf(AcquireResult.Full.class);
        AcquireResult back = pool.acquire(400, RequestProfile.PLAIN, Set.of(otherThan(failed)));
        assertThat(back).isInstanceOf(AcquireResult.Granted.class);
        // One call at a time until it has answered.
        assertThat(pool.acquire(400, RequestProfile.PLAIN, Set.of(otherThan(failed))))
                .isInstanceOf(AcquireResult.Full.class);
        pool.release(420, ((AcquireResult.Granted) back).slot(), SlotOutcome.SERVED);
        take(pool, RequestProfile.PLAIN);
        assertThat(pool.acquire(430, RequestProfile.PLAIN, Set.of(otherThan(failed))))
                .isInstanceOf(AcquireResult.Granted.class);
    }

    @Test
    void oneFailureDiscardsItsSlotAndNotTheServer() {
        ServerPool pool = pool(PLAIN, 1, 0, 1, 4);
        Slot failed = take(pool, RequestProfile.PLAIN);
        pool.release(0, failed, SlotOutcome.FAILED);
        Slot next = take(pool, RequestProfile.PLAIN);
        assertThat(next.number()).isEqualTo(1);
        pool.release(0, next, SlotOutcome.FAILED);
        assertThat(pool.acquire(10, RequestProfile.PLAIN, Set.of()))
                .isInstanceOf(AcquireResult.Full.class);
    }

    @Test
    void aServerThatFailsPartOfItsCallsComesAfterOthers() {
        ServerPool pool = pool(PLAIN, 1, 0, 2, 4);
        String failing = take(pool, RequestProfile.PLAIN).serverId();
        int sentThere = 0;
        for (int i = 0; i < 40; i++) {
            Slot slot = take(pool, RequestProfile.PLAIN);
            boolean fails = slot.serverId().equals(failing);
            sentThere += fails ? 1 : 0;
            pool.release(i, slot, fails ? SlotOutcome.ERROR : SlotOutcome.SERVED);
        }
        assertThat(sentThere).isAtMost(4);
    }

    @Test
    void whatAnotherSidecarSentIsKnownToBeKept() {
        ServerPool pool = pool(MODEL, 6, 0, 5, 64);
        pool.promptSentElsewhere(
                0, new Message.PromptSent("server-3", "m", 0, prompt(7, 1).parts()));
        pool.promptSentElsewhere(
                0, new Message.PromptSent("server-9", "m", 0, prompt(7, 1).parts()));
        Slot slot = take(pool, prompt(7, 2));
        assertThat(slot.serverId()).isEqualTo("server-3");
        assertThat(slot.freshTokens()).isEqualTo(3000);
    }

    private static String otherThan(Slot slot) {
        return slot.serverId().equals("server-0") ? "server-1" : "server-0";
    }

    @Test
    void promptsThatShareAPartGoToOneServerFromEverySidecar() {
        for (long shared = 1; shared < 20; shared++) {
            Set<String> homes = new HashSet<>();
            for (int number = 0; number < 6; number++) {
                homes.add(
                        take(pool(MODEL, 6, number, 5, 64), prompt(shared, 1000 + number))
                                .serverId());
            }
            assertThat(homes).hasSize(1);
        }
    }

    @Test
    void aHomeWithMuchToReadGivesWay() {
        ServerPool pool = pool(MODEL, 6, 0, 5, 64);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            used.add(take(pool, prompt(7, 1000 + i)).serverId());
        }
        assertThat(used.size()).isAtLeast(2);
    }

    @Test
    void serversThatDrainTakeNothingNew() {
        ServerPool pool = pool(PLAIN, 1, 0, 2, 4);
        pool.update(List.of());
        assertThat(pool.acquire(0, RequestProfile.PLAIN, Set.of()))
                .isInstanceOf(AcquireResult.Nobody.class);
    }

    @Test
    void releasingTwiceCountsOnce() {
        ServerPool pool = pool(PLAIN, 1, 0, 1, 4);
        Slot first = take(pool, RequestProfile.PLAIN);
        pool.release(0, first, SlotOutcome.SERVED);
        Slot second = take(pool, RequestProfile.PLAIN);
        pool.release(0, first, SlotOutcome.SERVED);
        assertThat(second.number()).isEqualTo(0);
        assertThat(take(pool, RequestProfile.PLAIN).number()).isEqualTo(1);
    }

    private static String sentTo(ServerPool pool, RequestProfile call, String connected) {
        AcquireResult acquired = pool.acquire(0, call, Set.of(), connected::equals);
        return ((AcquireResult.Granted) acquired).slot().serverId();
    }

    @Test
    void ofServersThatAnswerAlikeOneWithAKeptConnectionTakesTheCall() {
        RequestProfile small = new RequestProfile(List.of(new PromptPart(1, 100)), 100, 10);
        for (int i = 0; i < 5; i++) {
            String kept = "server-" + i;
            assertThat(sentTo(pool(MODEL, 6, 0, 5, 64), small, kept)).isEqualTo(kept);
        }
    }

    /** 3,000 shared tokens take longer to read than a connection takes to open. */
    @Test
    void aKeptPromptIsWorthMoreThanAKeptConnection() {
        ServerPool pool = pool(MODEL, 6, 0, 5, 64);
        pool.promptSentElsewhere(
                0, new Message.PromptSent("server-3", "m", 0, prompt(7, 1).parts()));
        assertThat(sentTo(pool, prompt(7, 2), "server-1")).isEqualTo("server-3");
    }

    @Test
    void aPlainCallGoesWhereAConnectionIsKeptBeforeTheNextRound() {
        ServerPool pool = pool(PLAIN, 1, 0, 2, 4);
        assertThat(sentTo(pool, RequestProfile.PLAIN, "server-0")).isEqualTo("server-0");
        assertThat(sentTo(pool, RequestProfile.PLAIN, "server-1")).isEqualTo("server-1");
    }
}
