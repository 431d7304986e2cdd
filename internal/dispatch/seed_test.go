package dispatch

import _ "hemlockquay/internal/fixedseed"
