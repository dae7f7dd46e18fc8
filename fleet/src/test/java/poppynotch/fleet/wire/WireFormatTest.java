package poppynotch.fleet.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import poppynotch.fleet.lease.Command;
import poppynotch.fleet.lease.DutyClient;
import poppynotch.fleet.lease.Ledger;
import poppynotch.fleet.membership.Message;
import poppynotch.fleet.membership.Profile;
import poppynotch.fleet.membership.State;
import poppynotch.fleet.membership.Update;
import poppynotch.fleet.rollout.Stage;
import poppynotch.fleet.rollout.Stager;
import poppynotch.fleet.sharing.Shares;
import poppynotch.fleet.sharing.SightingStore;

/** Holds what processes send each other to the bytes of earlier versions. */
class WireFormatTest {

    private static List<String> recorded(String file) throws IOException {
        try (InputStream in = WireFormatTest.class.getResourceAsStream("/golden/" + file)) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII).lines().toList();
        }
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static String hex(ByteBuffer buffer) {
        return hex(Message.bytes(buffer));
    }

    private static ByteBuffer bytes(String hex) {
        return ByteBuffer.wrap(HexFormat.of().parseHex(hex));
    }

    /** One message of each kind, with a member in each state and phase. */
    static List<Message> messages() {
        List<Update> updates = new ArrayList<>();
        for (State state : State.values()) {
            Profile.Phase phase =
                    Profile.Phase.values()[state.ordinal() % Profile.Phase.values().length];
            updates.add(
                    new Update(
                            "m" + state.ordinal(),
                            "127.0.0.1:7002",
                            2,
                            77,
                            state,
                            "n3",
                            new Profile("a", "front", "0.3", phase, "127.0.0.1:1"),
                            state.ordinal() * 10L));
        }
        List<Message> all = new ArrayList<>();
        for (Message.Kind kind : Message.Kind.values()) {
            all.add(
                    new Message(
                            kind,
                            "n1",
                            "127.0.0.1:7000",
                            99,
                            7 + kind.ordinal(),
                            "n2",
                            "127.0.0.1:7001",
                            -42,
                            List.of(1L, -2L),
                            updates,
                            ByteBuffer.wrap(new byte[] {1, 2, 3})));
        }
        return all;
    }

    static List<DutyClient.Question> questions() {
        List<DutyClient.Question> all = new ArrayList<>();
        for (Command.Kind kind : Command.Kind.values()) {
            all.add(new DutyClient.Question("", new Command(kind, "d", "m", 5, 1L << 41, 3), 2));
        }
        return all;
    }

    static List<DutyClient.Answer> answers() {
        return List.of(
                new DutyClient.Answer(true, new Ledger.Duty("m", 5, 1L << 41, 9, "x"), "k1"),
                new DutyClient.Answer(false, null, ""));
    }

    private static List<Stage> stages() {
        List<Stage> all = new ArrayList<>();
        for (Stage.Phase phase : Stage.Phase.values()) {
            all.add(
                    new Stage(
                            "r",
                            "m2",
                            List.of("s1", "s2"),
                            phase,
                            1,
                            0.25,
                            7,
                            3 + phase.ordinal(),
                            "why"));
        }
        return all;
    }

    /** What rides on answers: stages, sightings, loans. */
    static List<String> riders() {
        List<String> all = new ArrayList<>();
        for (Stage stage : stages()) {
            Stager stager = new Stager();
            stager.hear(0, stage, 5);
            all.add(
                    hex(
                            new Riders()
                                    .with(StageRider.LETTER, new StageRider(stager, 2))
                                    .next(10, 1000, 20)));
        }
        SightingStore seen = new SightingStore("other", 1, 15_000, 100);
        seen.saw(0, "s1", 5, 1, 2, 1);
        all.add(hex(new Riders().with("s", new SightingRider(seen)).next(10, 1000, 20)));
        all.add(hex(Riders.wrapped("l", LoanDesk.question(new Shares.Question("a", "t", 5.5)))));
        all.add(hex(Riders.wrapped("l", LoanDesk.answer(5.5))));
        all.add(hex(Riders.wrapped(StageRider.LETTER, StageRider.question())));
        all.add(hex(new StageRider(new Stager(), 2).asked(0, "a", 1, StageRider.question())));
        all.add(hex(Riders.wrapped(DutyCodec.LETTER, DutyCodec.question(questions().get(0)))));
        return all;
    }

    static List<String> messagesAsHex() {
        MessageCodec codec = new MessageCodec("fleet-1");
        return messages().stream().map(message -> hex(codec.encode(message))).toList();
    }

    static List<String> dutiesAsHex() {
        List<String> all = new ArrayList<>();
        questions().forEach(question -> all.add(hex(DutyCodec.question(question))));
        answers().forEach(answer -> all.add(hex(DutyCodec.answer(answer))));
        return all;
    }

    @Test
    void messagesAreWrittenAsByEarlierVersions() throws IOException {
        assertEquals(recorded("messages.hex"), messagesAsHex());
    }

    @Test
    void messagesOfEarlierVersionsAreRead() throws Exception {
        List<Message> read = new ArrayList<>();
        for (String record : recorded("messages.hex")) {
            read.add(new MessageCodec("fleet-1").decode(HexFormat.of().parseHex(record)));
        }
        List<Message> again = new ArrayList<>();
        for (Message message : messages()) {
            again.add(
                    new MessageCodec("fleet-1")
                            .decode(new MessageCodec("fleet-1").encode(message)));
        }
        assertEquals(again, read);
        assertEquals(
                messages().stream().map(Message::kind).toList(),
                read.stream().map(Message::kind).toList());
    }

    @Test
    void questionsAndAnswersOfDutiesAreWrittenAndReadAsByEarlierVersions() throws IOException {
        List<String> recorded = recorded("duties.hex");
        assertEquals(recorded, dutiesAsHex());
        int next = 0;
        for (DutyClient.Question question : questions()) {
            assertEquals(question, DutyCodec.question(bytes(recorded.get(next++))));
        }
        for (DutyClient.Answer answer : answers()) {
            assertEquals(answer, DutyCodec.answer(bytes(recorded.get(next++))));
        }
    }

    @Test
    void sharedStateIsWrittenAsByEarlierVersions() throws IOException {
        assertEquals(recorded("riders.hex"), riders());
    }

    @Test
    void sharedStateOfEarlierVersionsIsRead() throws IOException {
        List<String> recorded = recorded("riders.hex");
        for (int i = 0; i < stages().size(); i++) {
            Stager stager = new Stager();
            new Riders()
                    .with(StageRider.LETTER, new StageRider(stager, 1))
                    .hear(20, bytes(recorded.get(i)), 0);
            assertEquals(stages().get(i), stager.stage(20));
        }
        SightingStore store = new SightingStore("me", 1, 15_000, 100);
        Riders riders =
                new Riders()
                        .with("s", new SightingRider(store))
                        .with("l", new LoanDesk(new Shares(new SplittableRandom(1))));
        riders.hear(20, bytes(recorded.get(stages().size())), 100);
        assertEquals(1, store.size());
        riders.asked(20, "a", 1, bytes(recorded.get(stages().size() + 1)));
        riders.told(20, "a", 1, bytes(recorded.get(stages().size() + 2)));
        assertEquals(0, riders.unreadable());
    }
}
