package org.masticpaddle.command;

import javax.management.JMRuntimeException;
import javax.management.MBeanServerFactory;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class NoManagementBeansTest {
    private static final String BUILDER = "javax.management.builder.initial";

    @AfterEach
    void restoreBuilder() {
        System.clearProperty(BUILDER);
    }

    @Test
    void shouldKeepAProcessFromCreatingAServerOfManagementBeans() {
        System.setProperty(BUILDER, NoManagementBeans.class.getName());

        final JMRuntimeException error = assertThrows(JMRuntimeException.class, MBeanServerFactory::newMBeanServer);

        assertThat(error).hasMessageThat().contains("newMBeanServerDelegate");
    }
}
