package quarantine

import _ "hemlockquay/internal/fixedseed"
