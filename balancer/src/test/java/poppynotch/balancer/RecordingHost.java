package poppynotch.balancer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A host that records the actions and carries none out. */
final class RecordingHost implements BalancerActions {

    /** One attempt that was sent. */
    record SentAttempt(String request, int attempt, String server, double timeoutMs) {}

    final List<SentAttempt> sent = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> disconnected = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final List<String> actions = new ArrayList<>();
    final List<Double> timerDelaysMs = new ArrayList<>();
    int subscriptions;
    private final Map<String, Integer> attempts = new HashMap<>();

    SentAttempt last() {
        return sent.get(sent.size() - 1);
    }

    @Override
    public void send(String request, String server, double timeoutMs) {
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        sent.add(new SentAttempt(request, attempt, server, timeoutMs));
        actions.add("send " + request + " " + server + " " + timeoutMs);
    }

    @Override
    public void reject(String request, double coolDownMs) {
        rejected.add(request);
        actions.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        failed.add(request);
        actions.add("fail " + request);
    }

    @Override
    public void cancel(String request, int attempt) {
        cancelled.add(request + "#" + attempt);
        actions.add("cancel " + request + " " + attempt);
    }

    @Override
    public void startTimer(double delayMs, long timerId) {
        timerDelaysMs.add(delayMs);
        actions.add("timer " + timerId);
    }

    @Override
    public void closeIdleConnections(String server) {
        disconnected.add(server);
        actions.add("disconnect " + server);
    }

    @Override
    public void subscribe() {
        subscriptions++;
        actions.add("subscribe");
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
