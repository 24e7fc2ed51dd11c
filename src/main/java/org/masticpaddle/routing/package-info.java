/** Pure decisions on model and version, cascade, upstream and session; time and random source are arguments. */
package org.masticpaddle.routing;
