/** Metrics of a process by OpenTelemetry: pushed to a collector, and shown on a scrape page. */
package org.masticpaddle.metrics;
