/**
 * The sidecar process: the only path to its upstream, which limits, records and runs attempts and relays their answers.
 */
package org.masticpaddle.sidecar;
