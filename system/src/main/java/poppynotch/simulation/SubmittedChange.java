package poppynotch.simulation;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import poppynotch.control.ConfigChange;
import poppynotch.control.OperatorChange;
import poppynotch.control.OperatorChangeResult;
import poppynotch.register.Outcome;
import poppynotch.register.RegisterValue;

/** An operator's order, and all that the operator was told of it. */
final class SubmittedChange {

    private static final int FORGETFUL_HISTORY = 4;

    private final long generation;
    private final long buildsOn;
    private final byte[] json;
    private final String content;
    private final long digest;
    private boolean taken;
    private boolean refused;
    private long takenMs = Long.MAX_VALUE;

    SubmittedChange(long generation, long buildsOn, String content) {
        this.generation = generation;
        this.buildsOn = buildsOn;
        this.content = content;
        json =
                ("{\"Generation\":"
                                + generation
                                + ",\"Routes\":[],\"Backends\":[{\"Name\":\""
                                + content
                                + "\"}]}")
                        .getBytes(StandardCharsets.UTF_8);
        digest = read().digest();
    }

    long generation() {
        return generation;
    }

    long buildsOn() {
        return buildsOn;
    }

    String content() {
        return content;
    }

    long digest() {
        return digest;
    }

    boolean isTaken() {
        return taken;
    }

    boolean isRefused() {
        return refused;
    }

    /** When the operator was first told that it is taken. */
    long takenMs() {
        return takenMs;
    }

    /** The operator is told; false if that contradicts what it was told before. */
    boolean told(long nowMs, OperatorChangeResult result) {
        if (result instanceof OperatorChangeResult.Taken) {
            taken = true;
            takenMs = Math.min(takenMs, nowMs);
        } else if (!(result instanceof OperatorChangeResult.Unclear)) {
            refused = true;
        }
        return !(taken && refused);
    }

    /** The order as it is sent, each time anew. */
    OperatorChange order(SeededDefect fault) {
        ConfigChange order = read();
        return fault == SeededDefect.HISTORY_OF_FOUR ? forgetful(order) : order;
    }

    private ConfigChange read() {
        ConfigChange.Read read = ConfigChange.read(ConfigChange.Kind.WHOLE, buildsOn, json);
        return ((ConfigChange.Read.Good) read).order();
    }

    private static OperatorChange forgetful(ConfigChange order) {
        return new OperatorChange() {
            @Override
            public OperatorChangeResult resultOf(Outcome outcome) {
                return order.resultOf(outcome);
            }

            @Override
            public Decision decide(RegisterValue current) {
                int surplus = Math.max(0, current.history().size() - FORGETFUL_HISTORY);
                return order.decide(
                        new RegisterValue(
                                current.revision(),
                                current.acceptors(),
                                current.generation(),
                                current.document(),
                                current.history().subList(surplus, current.history().size())));
            }
        };
    }

    /** What a core process answers: nothing but the result. */
    static Optional<OperatorChangeResult> clear(Optional<OperatorChangeResult> answer) {
        return answer.filter(result -> !(result instanceof OperatorChangeResult.Unclear));
    }
}
