package poppynotch.control;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import poppynotch.register.AcceptorSet;
import poppynotch.register.Ballot;
import poppynotch.register.ChangeFunction;
import poppynotch.register.ProposalOutcome;
import poppynotch.register.RegisterValue;
import poppynotch.wire.Message;
import poppynotch.wire.MessageCodec;

/**
 * Guards against applied changes that are rejected when they are sent again after hundreds of
 * others, and against a history that grows without bound.
 */
class ConfigChangeTest {

    private static final int CHANGES = 600;
    private static final int MAX_MESSAGE_BYTES = 16 * RegisterValue.MAX_HISTORY_LENGTH + 512;

    private final List<byte[]> bodies = new ArrayList<>();
    private final List<Long> bases = new ArrayList<>();
    private RegisterValue value = RegisterValue.initial(AcceptorSet.of(List.of("a")));

    private static ConfigChange parse(long baseGeneration, byte[] body) {
        return ((ConfigChange.ParseResult.Parsed)
                        ConfigChange.parse(ConfigChange.Kind.COMPLETE, baseGeneration, body))
                .change();
    }

    private OperatorChangeResult decide(ConfigChange change) {
        ChangeFunction.Decision decision = change.apply(value);
        if (decision instanceof ChangeFunction.Decision.Replace replace) {
            value = replace.value();
        }
        return change.resultOf(new ProposalOutcome.Chosen(Ballot.ZERO, value, true));
    }

    private OperatorChangeResult submitAgain(int index) {
        return decide(parse(bases.get(index), bodies.get(index)));
    }

    private void submitValidChange(int index) {
        byte[] body =
                ("{\"Generation\":" + (2 * index + 1) + ",\"Routes\":[],\"Backends\":[]}")
                        .getBytes(StandardCharsets.UTF_8);
        bases.add(value.generation());
        bodies.add(body);
        assertThat(decide(parse(value.generation(), body)))
                .isEqualTo(new OperatorChangeResult.Applied(2L * index + 1));
    }

    @Test
    void neverRejectsAppliedChangeThatIsSentAgainAfterOthers() {
        for (int i = 0; i < CHANGES; i++) {
            submitValidChange(i);
            for (int distance : new int[] {1, 8, 64, 399, 400, 450, i}) {
                if (distance > i) {
                    continue;
                }
                OperatorChangeResult result = submitAgain(i - distance);
                assertWithMessage("change %s after %s others: %s", i - distance, distance, result)
                        .that(
                                result instanceof OperatorChangeResult.Applied
                                        || result instanceof OperatorChangeResult.Unclear)
                        .isTrue();
                if (distance < RegisterValue.MAX_HISTORY_LENGTH) {
                    assertThat(result).isInstanceOf(OperatorChangeResult.Applied.class);
                }
            }
        }
    }

    /** A change that was not applied is rejected as long as its base is in the history. */
    @Test
    void rejectsChangeOfVersionThatHasSuccessor() {
        for (int i = 0; i < CHANGES; i++) {
            submitValidChange(i);
        }
        byte[] other =
                "{\"Generation\":9999,\"Routes\":[],\"Backends\":[]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThat(decide(parse(bases.get(CHANGES - 1), other)))
                .isInstanceOf(OperatorChangeResult.Conflict.class);
        assertThat(decide(parse(bases.get(CHANGES - RegisterValue.MAX_HISTORY_LENGTH + 2), other)))
                .isInstanceOf(OperatorChangeResult.Conflict.class);
        assertThat(decide(parse(bases.get(0), other)))
                .isEqualTo(new OperatorChangeResult.Unclear());
    }

    /** After hundreds of changes a value is no larger than once the history is full. */
    @Test
    void boundsSizeOfChosenValueAfterManyChanges() {
        for (int i = 0; i < CHANGES; i++) {
            submitValidChange(i);
            assertThat(value.history().size()).isAtMost(RegisterValue.MAX_HISTORY_LENGTH);
        }
        byte[] message = MessageCodec.encode(new Message.ValueChosen(Ballot.ZERO, value));
        assertThat(message.length).isAtMost(MAX_MESSAGE_BYTES);
    }

    /** Of two changes that differ only in their content, one is rejected. */
    @Test
    void distinguishesChangesOfSameGenerationAndBaseByContent() {
        submitValidChange(0);
        byte[] one =
                "{\"Generation\":7,\"Routes\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);
        byte[] two =
                "{\"Generation\":7,\"Routes\":[],\"Backends\":[{\"Name\":\"s\"}]}"
                        .getBytes(StandardCharsets.UTF_8);
        assertThat(decide(parse(1, one))).isEqualTo(new OperatorChangeResult.Applied(7));
        assertThat(decide(parse(1, two))).isEqualTo(new OperatorChangeResult.Conflict(7));
        assertThat(decide(parse(1, one))).isEqualTo(new OperatorChangeResult.Applied(7));
        ConfigChange patch =
                ((ConfigChange.ParseResult.Parsed)
                                ConfigChange.parse(ConfigChange.Kind.PATCH, 1, one))
                        .change();
        assertThat(decide(patch)).isEqualTo(new OperatorChangeResult.Conflict(7));
    }

    /** A change whose base is not current is rejected, then sent again when it is current. */
    @Test
    void appliesRejectedChangeOnceItsBaseIsCurrent() {
        byte[] late =
                "{\"Generation\":9,\"Routes\":[],\"Backends\":[]}".getBytes(StandardCharsets.UTF_8);
        assertThat(decide(parse(1, late))).isEqualTo(new OperatorChangeResult.Conflict(0));
        submitValidChange(0);
        assertThat(decide(parse(1, late))).isEqualTo(new OperatorChangeResult.Applied(9));
    }
}
