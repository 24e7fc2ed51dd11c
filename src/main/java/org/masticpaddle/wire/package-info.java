/** HTTP server and client based on Undertow, the JSON codec, and the messages between masticpaddle's processes. */
package org.masticpaddle.wire;
