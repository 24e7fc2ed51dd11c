package org.masticpaddle.kernel;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against services that keep running after a failed start, and against a wrong start or stop order. */
class KernelTest {
    private final List<String> events = new ArrayList<>();

    @Test
    void shouldStopServicesInReverseStartOrder() {
        final Kernel kernel = new Kernel().register("a", recordingService("a")).register("b", recordingService("b"));
        kernel.start();
        kernel.stop();
        assertThat(events)
                .containsExactly("start a", "start b", "stop b", "stop a")
                .inOrder();
    }

    @Test
    void shouldStopStartedServicesWhenALaterOneFails() {
        final Kernel kernel = new Kernel().register("a", recordingService("a")).register("b", new Service() {
            @Override
            public void start() {
                throw new IllegalStateException("port in use");
            }

            @Override
            public void stop() {}
        });
        assertThrows(KernelException.class, kernel::start);
        assertThat(events).containsExactly("start a", "stop a").inOrder();
    }

    @Test
    void shouldRejectADuplicateServiceName() {
        final Kernel kernel = new Kernel().register("a", recordingService("a"));
        assertThrows(KernelException.class, () -> kernel.register("a", recordingService("a")));
    }

    private Service recordingService(String name) {
        return new Service() {
            @Override
            public void start() {
                events.add("start " + name);
            }

            @Override
            public void stop() {
                events.add("stop " + name);
            }
        };
    }
}
