package org.masticpaddle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Caller that writes down what it receives. */
final class RecordingCaller implements CallerExchange {
    private final StringBuilder text = new StringBuilder();
    private Runnable gone = () -> {};

    @Override
    public void answer(int status, Map<String, String> headers, byte[] body) {
        text.append("answer ").append(status).append(';');
    }

    @Override
    public void begin(int status, Map<String, String> headers) {
        text.append("begin ").append(status).append(';');
    }

    @Override
    public void piece(byte[] bytes) {
        text.append(new String(bytes, StandardCharsets.UTF_8)).append(';');
    }

    @Override
    public void end() {
        text.append("end;");
    }

    @Override
    public void cut() {
        text.append("cut;");
    }

    @Override
    public void onGone(Runnable action) {
        gone = action;
    }

    void leave() {
        gone.run();
    }

    String text() {
        return text.toString();
    }
}
